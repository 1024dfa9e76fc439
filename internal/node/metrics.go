package node

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// metricsPath is where the counters are served.
const metricsPath = "/metrics"

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 2 * time.Second

// registerMetrics serves the process's expvar variables where the settings ask
// for it.
func registerMetrics(lc fx.Lifecycle, o Options) {
	if !o.Settings.Metrics.IsValid() {
		return
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, expvar.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp4", o.Settings.Metrics.String())
			if err != nil {
				return err
			}
			go func() {
				if err := server.Serve(listener); err != http.ErrServerClosed {
					o.Log.Named("metrics").Error("Counters are no longer served.", zap.Error(err))
				}
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error { return server.Shutdown(ctx) },
	})
}
