package guard

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

func TestLoopContinuesWithTheNextMessage(t *testing.T) {
	is := is.New(t)
	messages, handled := []int{1, 0, 2, 0, 3}, 0
	Loop(zap.NewNop(), func() {
		for len(messages) > 0 {
			m := messages[0]
			messages = messages[1:]
			handled += 6 / m
		}
	})
	is.Equal(handled, 6+3+2)
}
