package phases

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestEachPhaseIsRecordedAndLoggedOnce(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	now := time.Unix(0, 0)
	tracker := New(func() time.Time { return now }, zap.New(core), "elected", "served")
	now = now.Add(40 * time.Millisecond)
	tracker.End("served")
	now = now.Add(40 * time.Millisecond)
	tracker.End("elected")
	tracker.End("served")
	tracker.End("unknown")
	is.Equal(tracker.Ended(), []Phase{{Name: "served", Milliseconds: 40}, {Name: "elected", Milliseconds: 80}})
	is.Equal(logs.Len(), 2)
}
