package node

import (
	"context"
	"net"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/handover"
	"fulmarmount.org/fulmarmount/internal/settings"
)

// A process that has taken over can be reached by its own successor while its roles start,
// as they serve already. One that has not taken over leaves the socket to its owner until
// its roles hold their sockets.
func TestSuccessorReachesAProcessWhoseRolesStart(t *testing.T) {
	for name, inherited := range map[string]handover.Bundle{"took over": {{Role: "balancer"}}, "no predecessor": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "handover")
			o := Options{Settings: &settings.Process{Handover: path, Roles: []settings.Role{settings.RoleBalancer}}, Inherited: inherited, Log: zap.NewNop()}
			dial := func() error {
				conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
				if err == nil {
					_ = conn.Close()
				}
				return err
			}
			var whileStarting error
			app := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
				serve := registerHandover(lc, o, NewSuccession())
				lc.Append(fx.Hook{OnStart: func(context.Context) error {
					whileStarting = dial()
					return nil
				}})
				serve()
			}))
			is.NoErr(app.Start(t.Context()))
			is.Equal(whileStarting == nil, inherited != nil)
			is.NoErr(dial())
			is.NoErr(app.Stop(t.Context()))
		})
	}
}
