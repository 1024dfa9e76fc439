package balancer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"fulmarmount.org/core/flow"
	"fulmarmount.org/core/view"
	"fulmarmount.org/fulmarmount/internal/proto"
)

func TestTableAdoptAppliesUpdates(t *testing.T) {
	one, two := netip.MustParseAddrPort("192.0.2.1:1"), netip.MustParseAddrPort("192.0.2.2:2")
	service := func(name string, id view.ServiceID, addrs ...netip.AddrPort) proto.Service {
		return proto.Service{ID: id, Name: name, Addresses: addrs}
	}
	newView := func(id view.ServiceID, number uint64) *view.View {
		return view.New(id, view.Version{Epoch: 1, Number: number}, []view.BackendServer{
			{ID: "host", State: view.Ready, Weight: view.FullWeight},
		})
	}
	base := proto.Update{
		Services: []proto.Service{service("a", 1, one), service("b", 2, two)},
		Views:    []*view.View{newView(1, 5), newView(2, 5)},
	}
	tests := []struct {
		name             string
		update           proto.Update
		wantOne, wantTwo view.ServiceID // service at each address; 0 if none
	}{
		{"empty update", proto.Update{}, 1, 2},
		{"service removed", proto.Update{Removed: []string{"a"}}, 0, 2},
		{"unknown service removed", proto.Update{Removed: []string{"z"}}, 1, 2},
		{"address released", proto.Update{Services: []proto.Service{service("a", 1)}}, 0, 2},
		{"addresses exchanged", proto.Update{Services: []proto.Service{service("a", 1, two), service("b", 2, one)}}, 2, 1},
		{"address moved to another service", proto.Update{Removed: []string{"b"}, Services: []proto.Service{service("a", 1, one, two)}}, 1, 1},
		{"service recreated under the same name", proto.Update{Services: []proto.Service{service("a", 3, one)}}, 0, 2},
		{"older view", proto.Update{Views: []*view.View{view.New(1, view.Version{Epoch: 1, Number: 4}, nil)}}, 1, 2},
		{"newer view without backend servers", proto.Update{Views: []*view.View{view.New(1, view.Version{Epoch: 1, Number: 6}, nil)}}, 0, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			table.adopt(base)
			table.adopt(tt.update)
			for addr, want := range map[netip.AddrPort]view.ServiceID{one: tt.wantOne, two: tt.wantTwo} {
				got, _ := table.selectBackendServer(flow.Tuple{Caller: one, Service: addr})
				is.Equal(got.service, want)
			}
		})
	}
}
