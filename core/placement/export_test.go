package placement

import "math"

// Score returns the score of one member by the textbook formula, in floating point.
func Score(key, seed uint64, weight uint32) float64 {
	u := (float64(Mix(key, seed)>>11) + 0.5) / (1 << 53)
	return float64(weight) / -math.Log(u)
}
