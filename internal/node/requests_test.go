package node

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"fulmarmount.org/fulmarmount/internal/proto"
	"fulmarmount.org/fulmarmount/internal/standin"
)

var requestAddr = testAddr(3)

// requestReply is an answer or a refusal.
type requestReply struct {
	Status  int
	Outcome string `json:"outcome"`
	Run     int    `json:"run"`
}

// amendOnce sends an amendment on a connection of its own, which may reach
// either balancer.
func amendOnce(key string) (requestReply, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+requestAddr.String()+"/amendments", strings.NewReader("blades: 40"))
	if err != nil {
		return requestReply{}, err
	}
	req.Header.Set(standin.KeyHeader, key)
	req.Header.Set("Prefer", "wait=2")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return requestReply{}, err
	}
	defer resp.Body.Close()
	r := requestReply{Status: resp.StatusCode}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(body, &r)
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// waitForKeys waits until the agents take keys, which is once they are older
// than the clocks' skew.
func waitForKeys(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for deadline := time.Now().Add(patience); ; {
		r, err := amendOnce(newKey())
		is.NoErr(err)
		if r.Status == http.StatusOK {
			return
		}
		is.True(time.Now().Before(deadline))
		time.Sleep(100 * time.Millisecond)
	}
}

// TestAgentsCutOffFromControlTakeNoNewKeys shows that agents which may be on
// the lesser side of a partition refuse what the other side may also run.
func TestAgentsCutOffFromControlTakeNoNewKeys(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, proto.Service{ID: 1, Name: "desk", Mode: proto.ModeRequest, Addresses: []netip.AddrPort{requestAddr}})
	desk, err := standin.StartOrderDesk(standin.OrderDeskOptions{Name: "desk"})
	is.NoErr(err)
	defer desk.Close()
	f.agent("desk", desk.Addr())
	b := f.balancer("balancer-1")
	waitForMembers(t, b, b, 1)
	waitForKeys(t)

	is.NoErr(f.control.Close())
	before, after := newKey(), newKey()
	r, err := amendOnce(before)
	is.NoErr(err)
	is.Equal(r.Status, http.StatusOK)

	// Views of other processes may have moved on after 30 s.
	f.ahead.Store(int64(26 * time.Second))
	r, err = amendOnce(after)
	is.NoErr(err)
	is.Equal(r.Status, http.StatusServiceUnavailable)
	is.Equal(desk.Runs(after), 0)
	_, err = amendOnce(before)
	is.NoErr(err)
	is.Equal(desk.Runs(before), 1)
}

// TestAmendmentsRunAtMostOnce sends amendments over two balancers and two
// agents while backend servers shed, cut and stall, and an agent restarts.
func TestAmendmentsRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, proto.Service{ID: 1, Name: "desk", Mode: proto.ModeRequest, Addresses: []netip.AddrPort{requestAddr}})
	var desks []*standin.OrderDesk
	for _, name := range []string{"desk-a", "desk-b"} {
		desk, err := standin.StartOrderDesk(standin.OrderDeskOptions{Name: name})
		is.NoErr(err)
		defer desk.Close()
		desks = append(desks, desk)
	}
	first := f.agent("desk", desks[0].Addr())
	f.agent("desk", desks[1].Addr())
	b1, b2 := f.balancer("balancer-1"), f.balancer("balancer-2")
	waitForMembers(t, b1, b2, 2)
	runs := func(key string) int { return desks[0].Runs(key) + desks[1].Runs(key) }
	mode := func(m standin.Mode) {
		for _, d := range desks {
			d.SetMode(m)
		}
	}
	waitForKeys(t)
	tests := []struct {
		name    string
		mode    standin.Mode
		outcome string
		runs    int
		resend  int // status of a resend once the backend servers work again
	}{
		{"serves", standin.ModeServe, "", 1, http.StatusOK},
		{"sheds", standin.ModeShed, "not-run", 0, http.StatusOK},
		{"cuts", standin.ModeCut, "unknown", 1, http.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			mode(tt.mode)
			key := newKey()
			r, err := amendOnce(key)
			is.NoErr(err)
			is.Equal(r.Outcome, tt.outcome)
			is.Equal(runs(key), tt.runs)
			mode(standin.ModeServe)
			for range 4 { // both balancers
				again, err := amendOnce(key)
				if again.Status == http.StatusServiceUnavailable {
					time.Sleep(time.Second) // as Retry-After says
					continue
				}
				is.NoErr(err)
				is.Equal(again.Status, tt.resend)
			}
			is.Equal(runs(key), 1)
		})
	}

	t.Run("agent restarts midway", func(t *testing.T) {
		is := is.New(t)
		mode(standin.ModeStallAfter)
		keys, replies := []string{newKey(), newKey()}, make(chan error, 2)
		for _, key := range keys {
			go func() {
				r, err := amendOnce(key)
				if err == nil && r.Outcome == "not-run" && runs(key) > 0 {
					t.Errorf("%s ran and was told not run", key)
				}
				replies <- err
			}()
		}
		for _, key := range keys {
			for deadline := time.Now().Add(patience); runs(key) == 0; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(deadline))
			}
		}
		is.NoErr(first.Close())
		f.agents = 0
		f.agent("desk", desks[0].Addr())
		mode(standin.ModeServe)
		for range keys {
			is.NoErr(<-replies)
		}
		for _, key := range keys {
			r, err := amendOnce(key)
			is.NoErr(err)
			is.True(r.Status == http.StatusOK || r.Outcome == "unknown")
			is.Equal(runs(key), 1)
		}
	})
}
