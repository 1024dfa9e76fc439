package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fulmarmount.org/core/membership"
	"fulmarmount.org/core/quorum"
)

const (
	tick = 50 * time.Millisecond
	// voterTimeout is the greatest election timeout, as for a control process.
	voterTimeout = 2 * quorum.DefaultElectionTicks * tick
	// reconcileTicks is the number of ticks between reconciliations.
	reconcileTicks = 5
	// joinTicks is the number of ticks between join requests of a replica.
	joinTicks = 10
	// leaveTicks is the number of ticks for which a stopping process waits at most, and
	// releaseTicks for which it waits for a leader that knows.
	leaveTicks   = 4 * quorum.DefaultElectionTicks
	releaseTicks = quorum.DefaultElectionTicks

	simCluster quorum.ClusterID = 7
)

// machine is a VM of the simulated control group: an address, a disk and a process.
type machine struct {
	address  string
	id       quorum.ReplicaID // of the disk
	run      int              // of the process
	hard     quorum.HardState
	snapshot quorum.Snapshot
	entries  []quorum.Entry
	r        *quorum.Replica // nil while no process runs

	reconciler *membership.Reconciler // nil while the replica does not lead
	departures map[quorum.ReplicaID]int
	stopping   int // ticks left until the process stops at the latest; 0 while it does not stop
	announced  int // ticks for which a leader has known that the process stops
	applied    []uint64
	quiet      int // ticks without a known leader
}

// groupSim drives the replicas of a control group and their reconcilers, as the control
// processes do, over a network that delays messages.
type groupSim struct {
	rng      *rand.Rand
	machines []*machine
	network  [][]quorum.Message // by the number of ticks until the delivery
	ticks    int
	target   int
	acked    []uint64
	proposed uint64
	failures []string
	events   []string
}

func (s *groupSim) note(format string, args ...any) {
	s.events = append(s.events, fmt.Sprintf("%7s ", time.Duration(s.ticks)*tick)+fmt.Sprintf(format, args...))
}

func newGroupSim(seed uint64, target int) *groupSim {
	s := &groupSim{rng: rand.New(rand.NewPCG(seed, 3)), target: target}
	var members []quorum.Member
	for i := range target {
		m := s.addMachine()
		m.address = fmt.Sprint("founder-", i)
		members = append(members, quorum.Member{ID: m.id, Address: m.address})
	}
	for _, m := range s.machines {
		m.hard, m.snapshot = quorum.Bootstrap(simCluster, members...)
		s.start(m)
	}
	return s
}

// addMachine adds a machine with an empty disk whose process does not run yet.
func (s *groupSim) addMachine() *machine {
	m := &machine{address: fmt.Sprint("machine-", len(s.machines))}
	s.wipe(m)
	s.machines = append(s.machines, m)
	return m
}

func (s *groupSim) wipe(m *machine) {
	m.id = quorum.ReplicaID(s.rng.Uint64() | 1)
	m.hard, m.snapshot, m.entries = quorum.HardState{}, quorum.Snapshot{}, nil
}

func (s *groupSim) start(m *machine) {
	r, err := quorum.New(quorum.Config{ID: m.id, Rand: s.rng, HardState: m.hard, Snapshot: m.snapshot, Entries: m.entries})
	if err != nil {
		s.failures = append(s.failures, fmt.Sprintf("start of %s: %v", m.address, err))
		return
	}
	m.run++
	m.r, m.applied, m.stopping, m.reconciler = r, nil, 0, nil
	m.departures = map[quorum.ReplicaID]int{}
	r.Campaign()
	s.note("%s starts, disk %s", m.address, m.id)
}

func (s *groupSim) kill(m *machine) {
	m.r = nil
	s.note("%s ends", m.address)
}

// terminate tells the process to stop.
func (s *groupSim) terminate(m *machine) {
	m.stopping, m.announced = leaveTicks, 0
	s.note("%s is told to stop", m.address)
}

func (s *groupSim) step() {
	s.ticks++
	var due []quorum.Message
	if len(s.network) > 0 {
		due, s.network = s.network[0], s.network[1:]
	}
	for _, message := range due {
		if to := s.byID(message.To); to != nil && to.r != nil {
			_ = to.r.Step(message) // rejected messages are part of elections
		}
	}
	for _, m := range s.machines {
		s.tickMachine(m)
	}
}

func (s *groupSim) byID(id quorum.ReplicaID) *machine {
	i := slices.IndexFunc(s.machines, func(m *machine) bool { return m.id == id })
	if i < 0 {
		return nil
	}
	return s.machines[i]
}

func (s *groupSim) tickMachine(m *machine) {
	if m.r == nil {
		return
	}
	m.r.Tick()
	s.processReady(m)
	if s.ticks%reconcileTicks == 0 {
		s.reconcile(m)
	}
	s.joinIfLeaderless(m)
	s.progressStop(m)
	if m.r != nil {
		s.processReady(m)
	}
}

func (s *groupSim) processReady(m *machine) {
	for {
		rd := m.r.Ready()
		if rd.IsEmpty() {
			return
		}
		s.send(rd.ImmediateMessages)
		m.save(rd)
		s.send(rd.Messages)
		for _, e := range rd.CommittedEntries {
			m.applied = append(m.applied, e.ProposalID)
			if e.Kind == quorum.EntryCommand && e.Proposer == m.id {
				s.acked = append(s.acked, e.ProposalID)
			}
		}
		m.r.Advance(rd)
	}
}

func (m *machine) save(rd quorum.Ready) {
	if rd.Snapshot != nil {
		m.snapshot, m.entries = *rd.Snapshot, nil
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		m.entries = slices.DeleteFunc(slices.Clone(m.entries), func(e quorum.Entry) bool { return e.Index >= first })
		m.entries = append(m.entries, rd.Entries...)
	}
	if rd.HardState != nil {
		m.hard = *rd.HardState
	}
}

// send delivers messages one tick later, a tenth of them up to three ticks later.
func (s *groupSim) send(messages []quorum.Message) {
	for _, message := range messages {
		delay := 0
		if s.rng.IntN(10) == 0 {
			delay = s.rng.IntN(3)
		}
		for len(s.network) <= delay {
			s.network = append(s.network, nil)
		}
		s.network[delay] = append(s.network[delay], message)
	}
}

// reconcile makes the next change if m leads, and reports whether none is due.
func (s *groupSim) reconcile(m *machine) bool {
	status := m.r.Status()
	if status.Role != quorum.Leader {
		m.reconciler = nil
		return true
	}
	if m.reconciler == nil {
		m.reconciler = membership.New(membership.Options{TargetVoters: s.target, VoterTimeout: voterTimeout})
	}
	progress := map[quorum.ReplicaID]quorum.Progress{}
	for _, p := range status.Progress {
		progress[p.ID] = p
	}
	change, ok := m.reconciler.NextChange(time.Duration(s.ticks)*tick, membership.State{
		Self: m.id, Members: status.Membership.Members,
		SilentFor:   func(id quorum.ReplicaID) time.Duration { return time.Duration(progress[id].IdleTicks) * tick },
		HasCaughtUp: func(id quorum.ReplicaID) bool { return progress[id].HasCaughtUp },
		IsLeaving:   func(id quorum.ReplicaID) bool { return s.isLeaving(m, id) },
	})
	if ok {
		err := m.r.ProposeChange(s.nextProposal(), change) // a rejected change is returned again
		s.note("%s leads term %d: %s %s (%v)", m.address, status.Term, change.Op, change.Member.ID, err)
	}
	return !ok
}

// isLeaving reports whether a replica has told the leader that its process stops, and has
// not started again since.
func (s *groupSim) isLeaving(leader *machine, id quorum.ReplicaID) bool {
	run, announced := leader.departures[id]
	other := s.byID(id)
	return announced && (other == nil || other.run == run)
}

func (s *groupSim) nextProposal() uint64 {
	s.proposed++
	return s.proposed
}

// joinIfLeaderless has the leader add a replica that knows none.
func (s *groupSim) joinIfLeaderless(m *machine) {
	if m.r.Status().Leader != 0 {
		m.quiet = 0
		return
	}
	m.quiet++
	leader := s.leader()
	isNew := m.r.Status().Cluster == 0
	if leader == nil || m.quiet%joinTicks != 0 || !isNew && m.quiet < 4*joinTicks {
		return
	}
	if _, isMember := leader.r.Membership().Find(m.id); !isMember {
		member := quorum.Member{ID: m.id, Address: m.address}
		err := leader.r.ProposeChange(s.nextProposal(), quorum.ConfChange{Op: quorum.AddLearner, Member: member})
		s.note("%s adds %s, disk %s (%v)", leader.address, m.address, m.id, err)
	}
}

func (s *groupSim) leader() *machine {
	var leader *machine
	for _, m := range s.machines {
		if m.r == nil || m.r.Status().Role != quorum.Leader {
			continue
		}
		if leader == nil || m.r.Status().Term > leader.r.Status().Term {
			leader = m
		}
	}
	return leader
}

// progressStop hands leadership and vote of a stopping process over, and ends it.
func (s *groupSim) progressStop(m *machine) {
	if m.stopping == 0 {
		return
	}
	m.stopping--
	leader := s.leader()
	settled := false
	switch {
	case leader == m:
		s.handOver(m)
	case leader != nil:
		leader.departures[m.id] = m.run
		noneLeft := s.reconcile(leader)
		m.announced++
		settled = noneLeft || m.announced == releaseTicks || !leader.r.Membership().IsVoter(m.id) && leader.r.Status().CommitIndex == leader.r.Status().LastIndex
	}
	if settled || m.stopping == 0 {
		s.processReady(m)
		m.stopping = 0
		s.kill(m)
	}
}

func (s *groupSim) handOver(m *machine) {
	status := m.r.Status()
	for _, p := range status.Progress {
		if status.Membership.IsVoter(p.ID) && !s.isLeaving(m, p.ID) && p.IdleTicks <= 3 {
			_ = m.r.TransferLeadership(p.ID) // a rejected transfer is tried again
			return
		}
	}
}

// propose has the leader replicate a command, if there is one.
func (s *groupSim) propose() {
	if leader := s.leader(); leader != nil {
		_ = leader.r.Propose(s.nextProposal(), nil) // fails during a transfer
	}
}
