// Package embedded is the default that a process runs without a settings file:
// all roles in one process, before two stand-in services on loopback.
package embedded

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"

	"fulmarmount.org/core/fleet"
	"fulmarmount.org/fulmarmount/internal/pace"
	"fulmarmount.org/fulmarmount/internal/settings"
	"fulmarmount.org/fulmarmount/internal/standin"
)

// The addresses of the embedded services.
var (
	deskAddr      = netip.MustParseAddrPort("127.0.0.1:8080")
	catalogueAddr = netip.MustParseAddrPort("127.0.0.1:8443")
	controlAddr   = netip.MustParseAddrPort("127.0.0.1:7600")
	anyPort       = netip.MustParseAddrPort("127.0.0.1:0")
)

const (
	deskService      = "order-desk"
	catalogueService = "catalogue"
	zone             = "zone-a"

	deskServers = 2

	slots       = 4
	idleTimeout = time.Hour
	stopTimeout = 5 * time.Second
)

// Services are the running stand-ins.
type Services struct {
	desks     []*standin.OrderDesk
	catalogue *standin.Catalogue
}

// Start starts the stand-in backend servers.
func Start() (*Services, error) {
	s := &Services{}
	for i := range deskServers {
		desk, err := standin.StartOrderDesk(standin.OrderDeskOptions{Name: fmt.Sprintf("desk-%d", i+1)})
		if err != nil {
			s.Close()
			return nil, err
		}
		s.desks = append(s.desks, desk)
	}
	catalogue, err := standin.StartCatalogue(standin.CatalogueOptions{Name: "sheets-1"})
	if err != nil {
		s.Close()
		return nil, err
	}
	s.catalogue = catalogue
	return s, nil
}

// Close stops the stand-ins.
func (s *Services) Close() {
	for _, d := range s.desks {
		_ = d.Close()
	}
	if s.catalogue != nil {
		_ = s.catalogue.Close()
	}
}

// Settings returns the settings of a process that holds every role.
func (s *Services) Settings() *settings.Process {
	p := &settings.Process{
		Name:        "embedded",
		Zone:        zone,
		Roles:       settings.Roles(),
		LogLevel:    "warn",
		StopTimeout: stopTimeout,
		Admin:       settings.Admin{Socket: socket()},
		Control:     settings.Control{Listen: controlAddr},
		Join:        settings.Join{Control: []netip.AddrPort{controlAddr}},
		Balancer:    settings.Balancer{Packets: anyPort, MTU: settings.DefaultMTU},
	}
	for _, d := range s.desks {
		p.Agents = append(p.Agents, agent(deskService, d.Name(), d.Addr()))
	}
	p.Agents = append(p.Agents, agent(catalogueService, s.catalogue.Name(), s.catalogue.Addr()))
	return p
}

func agent(service, id string, backend netip.AddrPort) settings.Agent {
	return settings.Agent{
		Service:     service,
		ID:          id,
		Backend:     backend,
		Packets:     anyPort,
		Requests:    anyPort,
		MTU:         settings.DefaultMTU,
		Slots:       slots,
		IdleTimeout: idleTimeout,
	}
}

// Fleet returns the configuration that control starts with.
func (s *Services) Fleet() *fleet.Document {
	return &fleet.Document{
		Defaults: fleet.DefaultSettings(),
		Services: []fleet.Service{
			{
				Name:             deskService,
				Mode:             fleet.ModeRequest,
				Addresses:        []netip.AddrPort{deskAddr},
				RepeatableRoutes: []fleet.Route{{Method: http.MethodGet, Prefix: "/"}},
			},
			{Name: catalogueService, Mode: fleet.ModePacket, Addresses: []netip.AddrPort{catalogueAddr}},
		},
	}
}

// socket returns the path of the operators' socket.
func socket() string { return filepath.Join(os.TempDir(), "fulmarmount.sock") }

const (
	// answerInterval is how often Await looks for the first answer.
	answerInterval = 200 * time.Millisecond
	// recordTime is how long after the first answer the records of what ran
	// start; a key that is older is refused.
	recordTime = 3 * time.Second
)

// Await waits until the order desk answers and takes new idempotency keys, or
// ctx ends.
func (s *Services) Await(ctx context.Context) {
	client := http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + deskAddr.String() + "/")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				pace.Sleep(ctx, recordTime)
				return
			}
		}
		pace.Sleep(ctx, answerInterval)
	}
}

// key returns an idempotency key that has just been made.
func key() string {
	id, err := uuid.NewV7()
	if err != nil {
		return "a-UUID-of-version-7"
	}
	return id.String()
}

// Guide tells a person what to try.
func (s *Services) Guide() string {
	var b strings.Builder
	fmt.Fprintf(&b, "fulmarmount serves two stand-in services. Try, in another terminal:\n\n")
	fmt.Fprintf(&b, "  curl http://%s/\n", deskAddr)
	fmt.Fprintf(&b, "  curl -H 'Idempotency-Key: %s' -d 'blades: 40' http://%s/amendments\n", key(), deskAddr)
	fmt.Fprintf(&b, "  (the same again gets the first answer: the amendment runs once)\n")
	fmt.Fprintf(&b, "  curl --http3-only -k https://%s/sheet?bytes=1000   (a curl with HTTP/3)\n\n", catalogueAddr)
	fmt.Fprintf(&b, "Operators: fulmarctl --socket %s status\n", socket())
	fmt.Fprintf(&b, "SIGUSR1 prints the state of the process, Ctrl-C ends it.\n")
	return b.String()
}
