package segment

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a start that is refused for good, since the clock by which it tells its
// time had stepped back, and against late reports of an ended start that replace a living
// one.
func TestStartsAreToldApartByWhoGoesOnToReport(t *testing.T) {
	const ms = time.Millisecond
	type report struct {
		at              time.Duration
		start, sequence uint64
		want            reportOrder
	}
	cases := []struct {
		name    string
		reports []report
	}{
		{"later starts", []report{{0, 5, 1, ofNewStart}, {700 * ms, 5, 2, ofCurrentStart}, {900 * ms, 8, 1, ofNewStart}}},
		{"a start after a step back", []report{
			{0, 5, 1, ofNewStart},
			{400 * ms, 3, 1, ofEarlierStart},
			{1200 * ms, 3, 2, ofReturnedStart},
			{1300 * ms, 3, 3, ofCurrentStart},
		}},
		{"late reports of an earlier start while the present one reports", []report{
			{0, 5, 1, ofNewStart},
			{100 * ms, 3, 7, ofEarlierStart},
			{700 * ms, 5, 2, ofCurrentStart},
			{1200 * ms, 3, 8, ofEarlierStart},
			{1400 * ms, 5, 3, ofCurrentStart},
		}},
		{"late reports that come together while the present start is silent", []report{
			{0, 5, 1, ofNewStart},
			{1500 * ms, 3, 7, ofEarlierStart},
			{1501 * ms, 3, 8, ofEarlierStart},
			{1502 * ms, 3, 9, ofEarlierStart},
			{1600 * ms, 5, 2, ofCurrentStart},
		}},
		{"the same late report again and again", []report{
			{0, 5, 1, ofNewStart},
			{1500 * ms, 3, 7, ofEarlierStart},
			{2200 * ms, 3, 7, ofEarlierStart},
			{2900 * ms, 3, 7, ofEarlierStart},
		}},
		{"a late report of the start before, which tells a later time", []report{
			{0, 5, 1, ofNewStart},
			{400 * ms, 3, 1, ofEarlierStart},
			{1200 * ms, 3, 2, ofReturnedStart},
			{1300 * ms, 5, 2, ofEarlierStart},
			{1900 * ms, 3, 3, ofCurrentStart},
			{2100 * ms, 5, 3, ofEarlierStart},
		}},
		{"a late report that came first, and the present start after it", []report{
			{0, 5, 9, ofNewStart}, // of an ended start, to an agent that has just started
			{300 * ms, 3, 4, ofEarlierStart},
			{1100 * ms, 3, 5, ofReturnedStart},
		}},
		{"two steps back", []report{
			{0, 5, 1, ofNewStart},
			{1500 * ms, 3, 1, ofEarlierStart},
			{2200 * ms, 3, 2, ofReturnedStart},
			{3000 * ms, 2, 1, ofEarlierStart},
			{3700 * ms, 2, 2, ofReturnedStart},
			{4000 * ms, 4, 1, ofNewStart},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var o startOrder
			for _, r := range c.reports {
				got := o.classify(r.at, r.start, r.sequence)
				is.Equal(got, r.want)
				if got != ofEarlierStart {
					o.accept(r.at, r.start)
				}
			}
		})
	}
}
