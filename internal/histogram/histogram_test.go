package histogram

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSummaryBoundsWhatWasCounted(t *testing.T) {
	is := is.New(t)
	var h Histogram
	is.Equal(h.Summary(), Summary{})
	for range 98 {
		h.Add(150 * time.Microsecond)
	}
	h.Add(30 * time.Millisecond)
	h.Add(2 * time.Hour)
	s := h.Summary()
	is.Equal(s.Count, uint64(100))
	is.Equal(s.Median, 200*time.Microsecond)
	is.Equal(s.P99, 51200*time.Microsecond)
	is.Equal(s.Max, unit<<(buckets-1))
}
