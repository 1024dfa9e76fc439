package run

import (
	"bytes"
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarmount.org/fulmarmount/internal/node"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/settings"
)

// watchInterval is how often the settings file is compared with what was read.
const watchInterval = 2 * time.Second

// watcher reads the settings file again when it changes. What a running process
// can take from it are the control processes of [join] and the availability zones of
// [adapter]; the rest needs a restart.
type watcher struct {
	options Options
	node    node.Options
	mu      sync.Mutex
	seen    []byte
}

func newWatcher(o Options, n node.Options) *watcher {
	w := &watcher{options: o, node: n}
	w.seen, _ = os.ReadFile(o.Config) // a file that can't be read now is news later
	return w
}

// run looks at the file until ctx ends.
func (w *watcher) run(ctx context.Context) { pace.Every(ctx, watchInterval, w.reload) }

// reload takes over what has changed. A file with faults changes nothing.
func (w *watcher) reload() {
	w.mu.Lock()
	defer w.mu.Unlock()
	log := w.node.Log.Named("settings")
	data, err := os.ReadFile(w.options.Config)
	if err != nil {
		log.Warn("Could not read the settings. Those in force stay.", zap.Error(err))
		return
	}
	if bytes.Equal(data, w.seen) {
		return
	}
	w.seen = data
	s, err := settings.Load(w.options.Config, w.options.Base)
	if err != nil {
		log.Error("Settings have faults. Those in force stay.", zap.Error(err))
		return
	}
	if !w.adopt(s, log) {
		log.Info("Settings have changed. The change needs a restart.")
	}
}

// adopt takes over what needs no restart, and reports whether any of it has changed.
func (w *watcher) adopt(s *settings.Process, log *zap.Logger) (changed bool) {
	if !slices.Equal(s.Join.Control, w.node.Seeds.Get()) && len(s.Join.Control) > 0 {
		w.node.Seeds.Set(s.Join.Control)
		log.Info("Control processes have changed.", zap.Stringers("control", s.Join.Control))
		changed = true
	}
	if !slices.Equal(s.Adapter.Zones, w.node.Zones.Get()) {
		w.node.Zones.Set(s.Adapter.Zones)
		log.Info("Availability zones have changed.", zap.Strings("zones", s.Adapter.Zones))
		changed = true
	}
	return changed
}
