package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/joomcode/errorx"
)

// disk is a fake disk that loses unsynced state in a crash.
type disk struct {
	hard, synced HardState
	snapshot     Snapshot
	entries      []Entry
}

func (d *disk) save(rd Ready) {
	if rd.Snapshot != nil {
		d.snapshot, d.entries = *rd.Snapshot, nil
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].Index
		keep := slices.IndexFunc(d.entries, func(e Entry) bool { return e.Index >= first })
		if keep < 0 {
			keep = len(d.entries)
		}
		d.entries = append(slices.Clone(d.entries[:keep]), rd.Entries...)
	}
	if rd.HardState != nil {
		d.hard = *rd.HardState
	}
	if rd.MustSync {
		d.synced = d.hard
	}
}

// pendingSimRead is a ReadIndex call in progress. floor is sim.maxObserved at its
// start.
type pendingSimRead struct{ floor, index uint64 }

// node is one replica with a fake disk and a state machine whose state is a digest
// of the applied entries.
type node struct {
	id             ReplicaID
	disk           disk
	r              *Replica
	applied        uint64
	digest         uint64 // over all applied entries in order
	clockRate      float64
	clock          float64
	proposalFloors map[uint64]uint64 // by proposal ID: sim.maxObserved at the proposal
	reads          map[uint64]pendingSimRead
}

type scheduledMessage struct {
	due     int
	message Message
}

// sim drives replicas over a lossy network and checks the safety properties
// (paper, figure 3) at every step.
type sim struct {
	rng         *rand.Rand
	now         int
	nodes       []*node
	network     []scheduledMessage
	blocked     map[[2]ReplicaID]bool
	loss        float64
	duplication float64
	delay       int

	lastRequestID  uint64
	leaders        map[uint64]ReplicaID // by term
	appliedEntries map[uint64]Entry     // by index
	digests        map[uint64]uint64
	maxObserved    uint64 // greatest index observed by a completed operation
	ackedCommands  map[uint64]uint64
	lostID         ReplicaID // replica whose disk was lost and that awaits removal, or 0
	failures       []string
}

const simCluster ClusterID = 7

func newSim(seed uint64, replicas int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]ReplicaID]bool{},
		leaders: map[uint64]ReplicaID{}, appliedEntries: map[uint64]Entry{}, digests: map[uint64]uint64{},
		ackedCommands: map[uint64]uint64{},
	}
	var members []Member
	for i := range replicas {
		members = append(members, Member{ID: ReplicaID(i + 1)})
	}
	for _, m := range members {
		n := &node{id: m.ID, clockRate: 1}
		n.disk.hard, n.disk.snapshot = Bootstrap(simCluster, members...)
		n.disk.synced = n.disk.hard
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	return s
}

func (s *sim) failf(format string, args ...any) {
	s.failures = append(s.failures, fmt.Sprintf("step %d: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *sim) start(n *node) {
	r, err := New(Config{
		ID: n.id, Rand: s.rng, MaxInflight: 4, MaxAppendBytes: 200,
		HardState: n.disk.hard, Snapshot: n.disk.snapshot, Entries: n.disk.entries,
	})
	if err != nil {
		s.failf("replica %s: %v", n.id, err)
		return
	}
	n.r = r
	n.proposalFloors, n.reads = map[uint64]uint64{}, map[uint64]pendingSimRead{}
	s.restore(n, n.disk.snapshot)
}

func (s *sim) restore(n *node, snapshot Snapshot) {
	n.applied = snapshot.Index
	n.digest = 0
	for _, b := range snapshot.Data {
		n.digest = n.digest<<8 | uint64(b)
	}
}

func (s *sim) crash(n *node) {
	n.r = nil
	n.disk.hard = n.disk.synced
}

// replaceDisk replaces the node's disk, and thus its replica ID, and starts it.
func (s *sim) replaceDisk(n *node) {
	n.disk = disk{}
	n.id = ReplicaID(s.rng.Uint64() | 1<<40)
	s.start(n)
}

// processReady completes the outstanding work of n's replica. If crashAt is 1, the
// replica crashes before it saves; if it is 2, before it sends the dependent messages.
func (s *sim) processReady(n *node, crashAt int) {
	for n.r != nil {
		rd := n.r.Ready()
		if rd.IsEmpty() {
			return
		}
		if rd.SoftState != nil && rd.SoftState.Role == Leader {
			if old, ok := s.leaders[rd.SoftState.Term]; ok && old != n.id {
				s.failf("term %d has leaders %s and %s", rd.SoftState.Term, old, n.id)
			}
			s.leaders[rd.SoftState.Term] = n.id
		}
		s.send(rd.ImmediateMessages)
		if crashAt == 1 {
			s.crash(n)
			return
		}
		n.disk.save(rd)
		if rd.Snapshot != nil {
			s.restore(n, *rd.Snapshot)
		}
		if crashAt == 2 {
			s.crash(n)
			return
		}
		s.send(rd.Messages)
		for _, e := range rd.CommittedEntries {
			s.apply(n, e)
		}
		n.r.Advance(rd)
		s.completeReads(n, rd.ReadStates)
	}
}

func (s *sim) apply(n *node, e Entry) {
	if e.Index != n.applied+1 {
		s.failf("replica %s applied %d after %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	n.digest = n.digest*1099511628211 + e.Term*31 + e.ProposalID + 1
	if old, ok := s.appliedEntries[e.Index]; ok && (old.Term != e.Term || old.ProposalID != e.ProposalID) {
		s.failf("entry %d is %v on replica %s and was %v", e.Index, e, n.id, old)
	}
	if old, ok := s.digests[e.Index]; ok && old != n.digest {
		s.failf("state after entry %d differs on replica %s", e.Index, n.id)
	}
	s.appliedEntries[e.Index], s.digests[e.Index] = e, n.digest
	if e.Kind == EntryChange && e.Change.Op == RemoveMember && e.Change.Member.ID == s.lostID {
		s.lostID = 0
	}
	if floor, ok := n.proposalFloors[e.ProposalID]; ok && e.Proposer == n.id {
		delete(n.proposalFloors, e.ProposalID)
		s.checkLinearizability("command", floor, e.Index)
		s.ackedCommands[e.ProposalID] = e.Index
	}
}

// checkLinearizability checks that an operation observed all operations that
// completed before it began. Every state is a prefix of one log, so this implies
// linearizability.
func (s *sim) checkLinearizability(operation string, floor, index uint64) {
	if index < floor {
		s.failf("%s observed state %d, but state %d had been observed before it began", operation, index, floor)
	}
	s.maxObserved = max(s.maxObserved, index)
}

func (s *sim) completeReads(n *node, states []ReadState) {
	for _, state := range states {
		if rd, ok := n.reads[state.Context]; ok {
			rd.index = state.Index
			n.reads[state.Context] = rd
		}
	}
	for context, rd := range n.reads {
		if rd.index != 0 && n.applied >= rd.index {
			delete(n.reads, context)
			s.checkLinearizability("read", rd.floor, n.applied)
		}
	}
}

func (s *sim) send(messages []Message) {
	for _, m := range messages {
		if s.blocked[[2]ReplicaID{m.From, m.To}] || s.rng.Float64() < s.loss {
			continue
		}
		s.network = append(s.network, scheduledMessage{s.now + 1 + s.rng.IntN(s.delay+1), m})
		if s.rng.Float64() < s.duplication {
			s.network = append(s.network, scheduledMessage{s.now + 1 + s.rng.IntN(4*s.delay+1), m})
		}
	}
}

// step advances the simulation by one unit of time.
func (s *sim) step() {
	s.now++
	var later, due []scheduledMessage
	for _, p := range s.network {
		if p.due > s.now {
			later = append(later, p)
		} else {
			due = append(due, p)
		}
	}
	s.network = later
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		for _, n := range s.nodes {
			if n.id == p.message.To && n.r != nil {
				if err := n.r.Step(p.message); errorx.IsOfType(err, ErrLogRolledBack) {
					s.failf("%v", err)
				}
			}
		}
	}
	for _, n := range s.nodes {
		n.clock += n.clockRate
		for ; n.clock >= 1; n.clock-- {
			if n.r != nil {
				n.r.Tick()
			}
		}
		s.processReady(n, 0)
	}
}

func (s *sim) run(steps int) {
	for range steps {
		s.step()
	}
}

func (s *sim) propose(n *node) uint64 {
	s.lastRequestID++
	n.proposalFloors[s.lastRequestID] = s.maxObserved
	if err := n.r.Propose(s.lastRequestID, []byte("x")); err != nil {
		delete(n.proposalFloors, s.lastRequestID)
	}
	return s.lastRequestID
}

func (s *sim) read(n *node) {
	s.lastRequestID++
	if n.r.ReadIndex(s.lastRequestID) == nil {
		n.reads[s.lastRequestID] = pendingSimRead{floor: s.maxObserved}
	}
}

func (s *sim) compact(n *node) {
	state := make([]byte, 8)
	for i := range state {
		state[i] = byte(n.digest >> (56 - 8*i))
	}
	snapshot, err := n.r.Snapshot(n.applied, state)
	if err != nil {
		s.failf("%v", err)
		return
	}
	n.disk.snapshot = snapshot
	first := n.r.Compact(snapshot, 3)
	n.disk.entries = slices.DeleteFunc(slices.Clone(n.disk.entries), func(e Entry) bool { return e.Index < first })
}

// leader returns the running leader with the greatest term, or nil.
func (s *sim) leader() *node {
	var best *node
	for _, n := range s.nodes {
		if n.r != nil && n.r.role == Leader && (best == nil || n.r.term > best.r.term) {
			best = n
		}
	}
	return best
}

// repair performs the next step of the operators' procedure after the loss of a
// disk: add the new replica ID, promote it, then remove the old one.
func (s *sim) repair() {
	n := s.leader()
	if n == nil || s.lostID == 0 {
		return
	}
	members := n.r.Status().Membership
	for _, other := range s.nodes {
		member, ok := members.Find(other.id)
		if !ok {
			_ = n.r.ProposeChange(0, ConfChange{Op: AddLearner, Member: Member{ID: other.id}})
			return
		}
		if member.IsLearner {
			_ = n.r.ProposeChange(0, ConfChange{Op: PromoteLearner, Member: member})
			return
		}
	}
	_ = n.r.ProposeChange(0, ConfChange{Op: RemoveMember, Member: Member{ID: s.lostID}})
}

// heal ends all faults, completes the repair and checks that the replicas agree.
func (s *sim) heal() {
	s.blocked = map[[2]ReplicaID]bool{}
	s.loss, s.duplication, s.delay = 0, 0, 0
	for _, n := range s.nodes {
		n.clockRate = 1
		if n.r == nil {
			s.start(n)
		}
	}
	for range 40 {
		s.run(10)
		s.repair()
	}
	s.checkAgreement()
}

// checkAgreement expects one leader, equal logs and every acknowledged command.
func (s *sim) checkAgreement() {
	leader := s.leader()
	if leader == nil {
		s.failf("no leader after all faults ended")
		return
	}
	proposalID := s.propose(leader)
	s.run(5)
	if _, ok := s.ackedCommands[proposalID]; !ok {
		s.failf("the cluster commits no entry after all faults ended")
	}
	for _, n := range s.nodes {
		if n.applied != leader.applied || n.digest != leader.digest {
			s.failf("replica %s applied %d, the leader %d", n.id, n.applied, leader.applied)
		}
		for _, e := range n.r.log.entries {
			if term, ok := leader.r.log.term(e.Index); ok && term != e.Term {
				s.failf("log of replica %s does not match the leader's at entry %d", n.id, e.Index)
			}
		}
	}
	for proposalID, index := range s.ackedCommands {
		if s.appliedEntries[index].ProposalID != proposalID {
			s.failf("acknowledged command %d is not at entry %d", proposalID, index)
		}
	}
	if s.lostID != 0 {
		s.failf("the repair did not complete")
	}
}
