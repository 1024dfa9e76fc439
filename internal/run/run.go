// Package run takes a process from its command line to its end.
package run

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"fulmarmount.org/fulmarmount/internal/adapter"
	"fulmarmount.org/fulmarmount/internal/embedded"
	"fulmarmount.org/fulmarmount/internal/handover"
	"fulmarmount.org/fulmarmount/internal/logsink"
	"fulmarmount.org/fulmarmount/internal/node"
	"fulmarmount.org/fulmarmount/internal/settings"
	"fulmarmount.org/fulmarmount/internal/uptime"
)

// Options are the command line of a process.
type Options struct {
	// Config is the path of the settings file; none runs the embedded default.
	Config string
	// Base is the folder that relative paths in the settings are taken from;
	// empty for that of the settings file.
	Base string
	// Platform speaks the protocols of the platform; nil for none.
	Platform adapter.Platform
	// Spray is the number of balancers that share the service addresses.
	Spray int
	// Output receives what the operator is told.
	Output io.Writer
}

// startLimit bounds the start of a process.
const startLimit = 30 * time.Second

// Process runs a process until ctx ends.
func Process(ctx context.Context, o Options) error {
	if o.Config == "" {
		return runEmbedded(ctx, o)
	}
	s, err := settings.Load(o.Config, o.Base)
	if err != nil {
		return err
	}
	n, err := load(s)
	if err != nil {
		return err
	}
	n.Spray, n.Platform = o.Spray, o.Platform
	watcher := newWatcher(o, n)
	go watcher.run(ctx)
	return serve(ctx, n, watcher.reload)
}

// runEmbedded runs the embedded default beside its stand-in services.
func runEmbedded(ctx context.Context, o Options) error {
	services, err := embedded.Start()
	if err != nil {
		return err
	}
	defer services.Close()
	n, err := load(services.Settings())
	if err != nil {
		return err
	}
	n.Initial = services.Fleet()
	n.Ready = func() {
		services.Await(ctx)
		_, _ = fmt.Fprint(o.Output, services.Guide())
	}
	return serve(ctx, n, func() {})
}

// load makes the parts that every process has.
func load(s *settings.Process) (node.Options, error) {
	log, err := newLog(s.LogLevel)
	if err != nil {
		return node.Options{}, err
	}
	log.Named("process").Info("Starting.", zap.String("name", s.Name))
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(s.MemoryLimit) << 20)
	}
	return node.Load(s, time.Now, log)
}

// serve starts the process, waits for ctx and stops it gracefully.
func serve(ctx context.Context, o node.Options, reload func()) error {
	inherited, err := takeOver(o)
	if err != nil {
		return err
	}
	o.Inherited = inherited
	if len(inherited) == 0 {
		o.ProcessStart = uptime.ProcessStart() // with a handover, the earlier process runs on
	}
	dumper, succession := node.NewDumper(o), node.NewSuccession()
	expvar.Publish("fulmarmount", expvar.Func(dumper.Counters))
	app := node.New(o, dumper, succession)
	if err := startApp(app); err != nil {
		return err
	}
	o.Log.Named("process").Info("Started.", zap.String("name", o.Settings.Name))
	if o.Ready != nil {
		o.Ready()
	}
	stop := handleSignals(dumper, o, reload)
	defer stop()
	select {
	case <-ctx.Done():
	case <-succession.Left():
	}
	o.Log.Named("process").Info("Stopping.", zap.Duration("limit", o.Settings.StopTimeout))
	defer func() { _ = o.Log.Sync() }()
	stopCtx, cancel := context.WithTimeout(context.Background(), o.Settings.StopTimeout+node.CloseTime)
	defer cancel()
	return app.Stop(stopCtx)
}

// takeOver asks a predecessor on this VM for what it holds.
func takeOver(o node.Options) (handover.Bundle, error) {
	if o.Settings.Handover == "" || !o.Settings.Has(settings.RoleBalancer) {
		return nil, nil
	}
	bundle, err := handover.Receive(o.Settings.Handover)
	if err == nil && len(bundle) > 0 {
		o.Log.Named("process").Info("Took over from the predecessor.", zap.Int("items", len(bundle)))
	}
	return bundle, err
}

func startApp(app *fx.App) error {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	return app.Start(ctx)
}

// handleSignals writes the state dump to standard error at each SIGUSR1, and
// reads keys and settings again at each SIGHUP.
func handleSignals(d *node.Dumper, o node.Options, reload func()) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	log := o.Log.Named("process")
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				reloadKeys(o, log)
				reload()
				continue
			}
			if err := d.Write(os.Stderr); err != nil {
				log.Error("Cannot write the dump.", zap.Error(err))
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

// reloadKeys reads certificate and packet keys from their files. Where a file
// is damaged, the keys in use stay.
func reloadKeys(o node.Options, log *zap.Logger) {
	if !o.Settings.TLS.Enabled() {
		return
	}
	if err := errors.Join(o.Identity.Reload(), o.Ring.Reload()); err != nil {
		log.Error("Cannot reload the keys. The earlier ones stay in use.", zap.Error(err))
		return
	}
	log.Info("Reloaded the keys.")
}

// maxSameLines bounds the lines of one text in a second; beyond it, one in so
// many is written.
const maxSameLines = 1000

func newLog(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	sink := logsink.New(os.Stdout)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), sink, parsed)
	sampled := zapcore.NewSamplerWithOptions(logsink.PlainErrors(core), time.Second, maxSameLines, maxSameLines,
		zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped != 0 {
				sink.LeaveOut()
			}
		}))
	return zap.New(sampled), nil
}
