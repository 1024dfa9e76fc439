// Command fulmarctl is the operators' tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"

	"fulmarmount.org/fulmarmount/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, ctl.Options{
		Args:   os.Args[1:],
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Now:    time.Now,
		NewID:  uuid.NewString,
	})
	stop()
	os.Exit(code)
}
