package balancer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

func TestTableAdoptsChanges(t *testing.T) {
	one, two := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:2")
	service := func(name string, id view.ServiceID, addrs ...netip.AddrPort) proto.Service {
		return proto.Service{ID: id, Name: name, Addresses: addrs}
	}
	members := func(id view.ServiceID, number uint64) *view.View {
		return view.New(id, view.Version{Epoch: 1, Number: number}, []view.BackendServer{
			{ID: "host", State: view.Ready, Weight: view.FullWeight},
		})
	}
	base := proto.Update{
		Services: []proto.Service{service("a", 1, one), service("b", 2, two)},
		Views:    []*view.View{members(1, 5), members(2, 5)},
	}
	tests := []struct {
		name     string
		update   proto.Update
		one, two view.ServiceID // 0: not served
	}{
		{"nothing", proto.Update{}, 1, 2},
		{"removed", proto.Update{Removed: []string{"a"}}, 0, 2},
		{"unknown removed", proto.Update{Removed: []string{"z"}}, 1, 2},
		{"address given up", proto.Update{Services: []proto.Service{service("a", 1)}}, 0, 2},
		{"addresses exchanged", proto.Update{Services: []proto.Service{service("a", 1, two), service("b", 2, one)}}, 2, 1},
		{"address taken over", proto.Update{Removed: []string{"b"}, Services: []proto.Service{service("a", 1, one, two)}}, 1, 1},
		{"made anew under the same name", proto.Update{Services: []proto.Service{service("a", 3, one)}}, 0, 2},
		{"older view", proto.Update{Views: []*view.View{view.New(1, view.Version{Epoch: 1, Number: 4}, nil)}}, 1, 2},
		{"newer view without members", proto.Update{Views: []*view.View{view.New(1, view.Version{Epoch: 1, Number: 6}, nil)}}, 0, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			table.adopt(base)
			table.adopt(tt.update)
			for addr, want := range map[netip.AddrPort]view.ServiceID{one: tt.one, two: tt.two} {
				got, _ := table.pick(flow.Tuple{Caller: one, Service: addr})
				is.Equal(got.service, want)
			}
		})
	}
}
