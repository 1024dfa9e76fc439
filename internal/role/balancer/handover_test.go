package balancer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/handover"
	"fulmarmount.org/fulmarmount/internal/proto"
)

func TestInheritedStateWithoutContentIsIgnored(t *testing.T) {
	is := is.New(t)
	b, _ := startRequestBalancer(t)
	for _, body := range [][]byte{nil, {0xf6}, []byte("no state")} {
		b.inheritState(handover.Item{Kind: itemState, Body: body})
	}
	body, err := cbor.Marshal(proto.Update{Views: []*view.View{nil}})
	is.NoErr(err)
	b.inheritState(handover.Item{Kind: itemState, Body: body})
}
