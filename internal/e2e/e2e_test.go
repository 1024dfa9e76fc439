package e2e

import (
	"context"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"fulmarmount.org/fulmarmount/internal/standin"
)

// sheetBytes is the length of a large download.
const sheetBytes = 64 << 20

// startEchoes starts backend servers of sessions with an agent beside each.
func (f *fleet) startEchoes(service string, n int) []*process {
	var agents []*process
	for i := range n {
		echo, err := standin.StartEcho(standin.EchoOptions{Name: fmt.Sprint("echo-", i)})
		is.New(f.t).NoErr(err)
		f.t.Cleanup(func() { _ = echo.Close() })
		agents = append(agents, f.startAgent(service, echo.Addr()))
	}
	return agents
}

// startCatalogue starts the backend server of downloads with its agent.
func (f *fleet) startCatalogue(service string) *x509.CertPool {
	c, err := standin.StartCatalogue(standin.CatalogueOptions{Name: "catalogue"})
	is.New(f.t).NoErr(err)
	f.t.Cleanup(func() { _ = c.Close() })
	f.startAgent(service, c.Addr())
	return c.Trust()
}

func (f *fleet) sessions(addr netip.AddrPort, n int) []*standin.Session {
	var all []*standin.Session
	for id := range n {
		s, err := standin.StartSession(standin.SessionOptions{ID: uint64(id + 1), Targets: []netip.AddrPort{addr}})
		is.New(f.t).NoErr(err)
		f.t.Cleanup(func() { _ = s.Close() })
		all = append(all, s)
	}
	return all
}

// exchange sends messages of every session until so many have been answered;
// what a killed process took with it is sent again as a new message.
func exchange(t *testing.T, all []*standin.Session, messages int) {
	t.Helper()
	const answerTime = 500 * time.Millisecond
	for _, s := range all {
		deadline := time.Now().Add(patience)
		for want := s.Report().Answered + uint64(messages); s.Report().Answered < want; {
			ctx, cancel := context.WithTimeout(t.Context(), answerTime)
			err := s.Exchange(ctx)
			cancel()
			if err != nil && !errors.Is(err, context.DeadlineExceeded) || time.Now().After(deadline) {
				t.Fatalf("session is not answered: %v", err)
			}
		}
	}
}

// checkUnbroken checks that every session was served by one backend server.
func checkUnbroken(t *testing.T, all []*standin.Session) {
	t.Helper()
	for _, s := range all {
		r := s.Report()
		if len(r.Servers) != 1 || r.Duplicates != 0 || r.Foreign != 0 {
			t.Fatalf("broken session: %+v", r)
		}
	}
}

func TestFlowsSurviveTheLossOfProcesses(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	control := f.startControl()
	sessionAddr, sheetAddr := serviceAddr(1), serviceAddr(2)
	f.apply(fmt.Sprintf("[defaults]\nwarming = 1s\nidle_timeout = 1h\n\n"+
		"[service.telemetry]\nmode = packet\naddresses = %v\n\n[service.sheets]\nmode = packet\naddresses = %v\n", sessionAddr, sheetAddr))
	f.startEchoes("telemetry", 3)
	trust := f.startCatalogue("sheets")
	first := f.startBalancer()
	f.startBalancer()
	f.settled(6, 4)
	all := f.sessions(sessionAddr, 12)
	exchange(t, all, 4)

	// A balancer dies in the middle of a download.
	conn, err := standin.StartSpray(standin.SprayOptions{Targets: []netip.AddrPort{sheetAddr}})
	is.NoErr(err)
	d := standin.NewDownloader(standin.DownloaderOptions{Conn: conn, Trust: trust})
	defer d.Close()
	killed := false
	sheet, err := d.Download(t.Context(), sheetBytes, func(n int64) {
		if n > sheetBytes/2 && !killed {
			first.kill()
			killed = true
		}
	})
	is.NoErr(err)
	is.True(killed)
	is.Equal(sheet.Bytes, int64(sheetBytes))
	exchange(t, all, 4)
	checkUnbroken(t, all)

	// A new balancer, which holds no flow, takes part.
	f.startBalancer()
	f.until("the new balancer is in force", func(ctx context.Context) bool {
		s, err := f.client.Status(ctx)
		return err == nil && s.Progress.InForce >= 6
	})
	exchange(t, all, 4)

	// Control dies: what is in force stays.
	control.kill()
	exchange(t, all, 4)
	checkUnbroken(t, all)
}

func TestBalancerRestartLosesNoDatagram(t *testing.T) {
	const restarts, waiting = 3, 8
	is := is.New(t)
	f := newFleet(t)
	control := f.startControl()
	addr := serviceAddr(3)
	f.apply(fmt.Sprintf("[defaults]\nwarming = 1s\nidle_timeout = 1h\n\n"+
		"[service.telemetry]\nmode = packet\naddresses = %v\n", addr))
	f.startEchoes("telemetry", 3)
	b := f.startBalancer()
	f.settled(4, 3)
	all := f.sessions(addr, 8)
	exchange(t, all, 2)

	// Without control the successors have only what they take over.
	control.kill()
	for range restarts {
		for _, s := range all {
			for range waiting {
				_, err := s.Send()
				is.NoErr(err)
			}
		}
		b = b.succeed()
		for _, s := range all {
			for range waiting {
				is.NoErr(s.Receive(t.Context()))
			}
		}
		exchange(t, all, 2)
		checkUnbroken(t, all)
	}
	for _, s := range all {
		is.True(s.Report().Whole())
	}
}

// An agent that restarts goes on as the same run, with its flows.
func TestAgentRestartKeepsSessions(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.startControl()
	addr := serviceAddr(4)
	f.apply(fmt.Sprintf("[defaults]\nwarming = 1s\nidle_timeout = 1h\n\n"+
		"[service.telemetry]\nmode = packet\naddresses = %v\n", addr))
	agents := f.startEchoes("telemetry", 3)
	f.startBalancer()
	f.settled(4, 3)
	all := f.sessions(addr, 12)
	exchange(t, all, 4)
	for _, a := range agents {
		is.NoErr(a.cmd.Process.Signal(syscall.SIGTERM))
		is.NoErr(a.cmd.Wait())
		a.run()
		exchange(t, all, 4)
		checkUnbroken(t, all)
	}
}
