package settings

import (
	"testing"

	"github.com/matryer/is"
)

func TestLeastLimit(t *testing.T) {
	number := func(x float64) *float64 { return &x }
	for _, tt := range []struct {
		warmup Warmup
		want   uint32
	}{
		{Warmup{}, 0},
		{Warmup{Extra: number(5)}, 0}, // without either nothing limits new flows
		{Warmup{Factor: number(1.5)}, 0},
		{Warmup{Factor: number(1.5), Extra: number(5.9)}, 5},
		{Warmup{Factor: number(0), Extra: number(0)}, 1},
	} {
		is.New(t).Equal(tt.warmup.LeastLimit(), tt.want)
	}
}
