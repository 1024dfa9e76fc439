// Package admin is the operators' interface of a process: HTTP with JSON on a
// local unix socket, and for operators with a client certificate on TLS. It
// holds the server, the ports that the server is made of, and the client.
package admin

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"fulmarmount.org/core/fleet"
)

var namespace = errorx.NewNamespace("admin")

var (
	// ErrListen is the type for sockets that cannot be opened.
	ErrListen = namespace.NewType("listen")
	// ErrUnavailable is the type for answers that may be had later or from
	// another process.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// errUnreachable is the type for processes that nothing was sent to.
	errUnreachable = ErrUnavailable.NewSubtype("unreachable")
	// ErrRefused is the type for requests that the server refuses.
	ErrRefused = namespace.NewType("refused")
)

// Store is the replicated state of the fleet.
type Store interface {
	// Propose runs a command. An error leaves its result unknown.
	Propose(ctx context.Context, c fleet.Command) (fleet.Result, error)
	// Read calls read with a state that holds every acknowledged command.
	Read(ctx context.Context, read func(*fleet.StateMachine)) error
}

// Dumper writes the state of the process as JSON.
type Dumper interface {
	Write(w io.Writer) error
}

// Replica is one member of the control group.
type Replica struct {
	// ID is the identity, new after the loss of a disk.
	ID   string `json:"id"`
	Name string `json:"name"`
	Addr string `json:"addr"`
	// Voter is false while the replica catches up.
	Voter  bool `json:"voter"`
	Leader bool `json:"leader"`
	// Match is the last log index that the replica is known to hold.
	Match uint64 `json:"match"`
}

// Replicas is the membership of the control group.
type Replicas interface {
	Replicas(ctx context.Context) ([]Replica, error)
	// AddReplica adds a replica as a learner, which votes once it has caught up.
	AddReplica(ctx context.Context, name string, addr netip.AddrPort) error
	RemoveReplica(ctx context.Context, id string) error
}

// Daemon is what control knows of one process.
type Daemon struct {
	Name string `json:"name"`
	// InForce is the position of the newest change that the daemon has in force.
	InForce string `json:"in_force"`
	// Departed is set where its connection is lost.
	Departed bool `json:"departed,omitempty"`
}

// Progress tells how far a revision has spread.
type Progress struct {
	Revision uint64 `json:"revision"`
	// Daemons is the number of daemons, InForce of those that have the
	// revision or a later one.
	Daemons int `json:"daemons"`
	InForce int `json:"in_force"`
	// Missing lists daemons without it, as many as fit.
	Missing []Daemon `json:"missing,omitempty"`
}

// Known reports whether the process that answered knows the daemons; in a
// control group the leader alone does.
func (p *Progress) Known() bool { return p.Daemons > 0 }

// Whole reports whether the revision is in force on every daemon.
func (p *Progress) Whole() bool { return p.Known() && p.InForce >= p.Daemons }

// Member is a backend server as control knows it.
type Member struct {
	Service string `json:"service"`
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Weight  uint32 `json:"weight"`
	// Flows is the number of flows that its agent owns.
	Flows uint32 `json:"flows"`
	// Load is the number of requests that run or wait.
	Load uint32 `json:"load"`
	// Reasons tell what keeps it from new flows.
	Reasons []string `json:"reasons,omitempty"`
}

// Spread is what control knows of the daemons and backend servers.
type Spread interface {
	// Progress tells how far revision has spread, and names at most limit
	// daemons that do not have it.
	Progress(revision uint64, limit int) Progress
	Members() []Member
}

// Status is the state of the fleet in short.
type Status struct {
	// Process is the name of the process that answered.
	Process  string    `json:"process"`
	Time     time.Time `json:"time"`
	Version  uint64    `json:"version"`
	Revision uint64    `json:"revision"`
	Services int       `json:"services"`
	// Expired lists the exceptions that have ended and may be deleted.
	Expired     []fleet.Exception  `json:"expired,omitempty"`
	Drains      []fleet.Drain      `json:"drains,omitempty"`
	Evacuations []fleet.Evacuation `json:"evacuations,omitempty"`
	// EvacuationRevision is the revision at which the evacuations last changed,
	// which commands that change them have to name.
	EvacuationRevision uint64 `json:"evacuation_revision"`

	Progress Progress  `json:"progress"`
	Members  []Member  `json:"members,omitempty"`
	Replicas []Replica `json:"replicas,omitempty"`
	// CertificateEnds is when the process's certificate expires.
	CertificateEnds time.Time `json:"certificate_ends,omitzero"`
}

// Document is the fleet's configuration at one version.
type Document struct {
	Version  uint64          `json:"version"`
	Revision uint64          `json:"revision"`
	Document *fleet.Document `json:"document"`
}

// ReplicaRequest asks for a new replica.
type ReplicaRequest struct {
	Name string         `json:"name"`
	Addr netip.AddrPort `json:"addr"`
}

// Problem is the body of errors (RFC 9457, section 3).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// Paths of the interface.
const (
	pathCommands = "/v1/commands"
	pathDocument = "/v1/document"
	pathHistory  = "/v1/history"
	pathStatus   = "/v1/status"
	pathProgress = "/v1/progress"
	pathDump     = "/v1/dump"
	pathMetrics  = "/v1/metrics"
	pathReplicas = "/v1/replicas"
)

const (
	contentJSON    = "application/json"
	contentProblem = "application/problem+json"
)

// maxBody bounds a request body, in bytes.
const maxBody = 64 << 20
