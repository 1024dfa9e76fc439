// Package settings reads the settings of one process from its INI file.
package settings

import (
	"net/netip"
	"slices"
	"time"
)

// Role is a part that a process plays in the fleet.
type Role string

// The roles of a process.
const (
	RoleBalancer Role = "balancer"
	RoleAgent    Role = "agent"
	RoleControl  Role = "control"
)

// Roles lists every role.
func Roles() []Role { return []Role{RoleBalancer, RoleAgent, RoleControl} }

// Process is the settings of one process.
type Process struct {
	// Name is the VM's name, as in its certificate.
	Name string
	// Zone is the availability zone.
	Zone string
	// DataDir is the folder for files that must survive. Only control needs it.
	DataDir string
	Roles   []Role
	// LogLevel is debug, info, warn or error.
	LogLevel string
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// MemoryLimit is the memory that the process tries to stay within, in MiB;
	// 0 sets no limit.
	MemoryLimit int
	// Handover is the path of the unix socket on which a balancer and its
	// successor meet, or the beginning of the path of the files in which an agent
	// leaves its flows to its successor; empty for none.
	Handover string
	// Metrics is the HTTP address of the counters; the zero value stands for none.
	Metrics netip.AddrPort

	TLS      TLS
	Admin    Admin
	Control  Control
	Join     Join
	Balancer Balancer
	Warmup   Warmup
	// Segments is set where the balancer or agent role serves services of mode
	// segment, and these alone.
	Segments *Segments
	Adapter  Adapter
	// Agents has one entry for each service that the VM's backend servers serve.
	Agents []Agent
}

// Has reports whether the process holds role.
func (p *Process) Has(role Role) bool { return slices.Contains(p.Roles, role) }

// TLS names the files of the process's keys.
type TLS struct {
	CA         string
	Cert       string
	Key        string
	PacketKeys string
}

// Enabled reports whether key files are set. A process without them makes keys
// of its own, which is allowed only where it talks to no other process.
func (t TLS) Enabled() bool { return t != TLS{} }

// Admin is the operators' interface.
type Admin struct {
	// Socket is the path of the local unix socket.
	Socket string
	// Remote is the address for operators with a client certificate; the zero
	// value stands for none.
	Remote netip.AddrPort
}

// Control is the settings of the control role.
type Control struct {
	// Listen is the QUIC address for replicas and daemons.
	Listen netip.AddrPort
	// Cluster is the name of the replica group; replicas refuse others.
	Cluster string
	// Peers are the replicas of a new cluster, this one included.
	Peers []Peer
	// Join is set where a replica without a cluster asks the processes of
	// [join] control to be added, and the leader keeps the membership by itself.
	Join bool
	// Tolerate is the number of replicas whose loss at one time the group is to
	// survive; 0 lets every replica vote.
	Tolerate int
	// Tick is the unit of the replica's time; ten of them without a leader
	// begin an election.
	Tick time.Duration
	// Collect is how long a new leader waits for announcements before it
	// publishes views; 0 for one lease.
	Collect time.Duration
}

// Peer is a control replica.
type Peer struct {
	Name string
	Addr netip.AddrPort
}

// Join tells where control is.
type Join struct {
	// Control lists addresses of control processes.
	Control []netip.AddrPort
	// Retry and RetryMax bound the delays between attempts to reach one, Dial
	// one attempt; 0 for the defaults.
	Retry, RetryMax, Dial time.Duration
	// Silence is how long a connection may be silent; 0 for the default.
	Silence time.Duration
}

// Adapter is how the process serves the protocols of the platform that it runs on. Its
// addresses are of HTTP; zero values stand for none.
type Adapter struct {
	// Readiness tells the fabric whether callers may be sent here.
	Readiness netip.AddrPort
	// Operators is for operators on control processes, and for the backend
	// server on agents.
	Operators netip.AddrPort
	// Zones are the availability zones that operators may name; empty for any.
	Zones []string
}

// Enabled reports whether any address is set.
func (a Adapter) Enabled() bool { return a.Readiness.IsValid() || a.Operators.IsValid() }

// Segments is the settings of roles that serve services of mode segment.
type Segments struct {
	// Packets is the UDP address for envelopes.
	Packets netip.AddrPort
	// Callers is the balancer's UDP address for callers' packets. Callers take
	// packets at the same port.
	Callers netip.AddrPort
	// LeaveTime is how long a stopping balancer goes on.
	LeaveTime time.Duration
	// Service, Backend and Outbound are the agent's: the service of its backend
	// server, where that takes packets, and where it sends them.
	Service  string
	Backend  netip.AddrPort
	Outbound netip.AddrPort
	// Patience is how long the backend server may be silent.
	Patience time.Duration
	// IdleTimeout ends a flow without packets.
	IdleTimeout time.Duration
}

// Bind is how a balancer takes the service addresses.
type Bind string

// The ways to take service addresses.
const (
	// BindAddresses opens one socket for each service address.
	BindAddresses Bind = "addresses"
	// BindWildcard opens one socket for each port and reads the destination
	// address from packet info.
	BindWildcard Bind = "wildcard"
)

// Balancer is the settings of the balancer role.
type Balancer struct {
	// Packets is the UDP address for envelopes from agents.
	Packets netip.AddrPort
	Bind    Bind
	// MTU is the largest IP packet on the path to agents, in bytes.
	MTU int
	// ReceiveBuffer is the socket receive buffer, in bytes.
	ReceiveBuffer int
}

// Agent is the settings of the agent role for one service.
type Agent struct {
	Service string
	// ID names the backend server within the fleet.
	ID string
	// Backend is the address of the backend server.
	Backend netip.AddrPort
	// Packets is the UDP address for envelopes.
	Packets netip.AddrPort
	// Requests is the QUIC address for requests and streams.
	Requests netip.AddrPort
	// MTU is the largest IP packet on the path to balancers, in bytes.
	MTU int
	// Slots is the number of requests the backend server runs at once.
	Slots int
	// IdleTimeout ends a flow without packets.
	IdleTimeout time.Duration
}
