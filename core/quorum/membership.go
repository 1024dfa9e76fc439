package quorum

import (
	"cmp"
	"fmt"
	"slices"
)

// Member describes one replica of a cluster.
type Member struct {
	ID ReplicaID `cbor:"1,keyasint"`
	// Name is the VM's name as configured by the operators.
	Name string `cbor:"2,keyasint,omitempty"`
	// Address is opaque to this package; transports dial it.
	Address string `cbor:"3,keyasint,omitempty"`
	// IsLearner marks a replica that receives the log but does not vote (thesis,
	// 4.2.1).
	IsLearner bool `cbor:"4,keyasint,omitempty"`
}

// Membership lists the replicas of a cluster, sorted by ID.
type Membership struct {
	Members []Member `cbor:"1,keyasint"`
}

// NewMembership returns a membership with members sorted by ID.
func NewMembership(members ...Member) Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return Membership{Members: sorted}
}

// Find returns the member with the given ID.
func (m Membership) Find(id ReplicaID) (Member, bool) {
	i := m.indexOf(id)
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsVoter reports whether id is a voting member.
func (m Membership) IsVoter(id ReplicaID) bool {
	member, ok := m.Find(id)
	return ok && !member.IsLearner
}

// VoterCount returns the number of voting members.
func (m Membership) VoterCount() int {
	n := 0
	for i := range m.Members {
		if !m.Members[i].IsLearner {
			n++
		}
	}
	return n
}

// QuorumSize returns the smallest majority of the voters.
func (m Membership) QuorumSize() int { return m.VoterCount()/2 + 1 }

func (m Membership) indexOf(id ReplicaID) int {
	return slices.IndexFunc(m.Members, func(o Member) bool { return o.ID == id })
}

// hasQuorum reports whether a majority of the voters satisfy predicate.
func (m Membership) hasQuorum(predicate func(ReplicaID) bool) bool {
	n := 0
	for i := range m.Members {
		if !m.Members[i].IsLearner && predicate(m.Members[i].ID) {
			n++
		}
	}
	return n >= m.QuorumSize()
}

// quorumIndex returns the greatest value that a majority of the voters have
// reached.
func (m Membership) quorumIndex(valueOf func(ReplicaID) uint64) uint64 {
	var values []uint64
	for i := range m.Members {
		if !m.Members[i].IsLearner {
			values = append(values, valueOf(m.Members[i].ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-m.QuorumSize()]
}

// Bootstrap returns the initial state to save on the first replicas of a new
// cluster. Its snapshot covers entry 1, so that replicas added later receive the
// initial membership from it.
func Bootstrap(cluster ClusterID, members ...Member) (HardState, Snapshot) {
	const first = 1
	hard := HardState{Cluster: cluster, Term: first, Commit: first}
	return hard, Snapshot{Index: first, Term: first, Membership: NewMembership(members...)}
}

// ChangeOp is the kind of a membership change.
type ChangeOp uint8

// The membership changes. Each adds or removes at most one voter, so that any
// majority before overlaps any majority after (thesis, 4.1).
const (
	AddLearner     ChangeOp = iota + 1 // add a replica without a vote
	PromoteLearner                     // turn a caught-up learner into a voter
	RemoveMember                       // remove a learner or voter permanently
)

var changeOpNames = [...]string{"", "add_learner", "promote", "remove"}

// String returns the operation's lower-case name.
func (op ChangeOp) String() string {
	if op > 0 && int(op) < len(changeOpNames) {
		return changeOpNames[op]
	}
	return fmt.Sprintf("change(%d)", uint8(op))
}

// ConfChange is one membership change. PromoteLearner and RemoveMember use only
// the member's ID.
type ConfChange struct {
	Op     ChangeOp `cbor:"1,keyasint"`
	Member Member   `cbor:"2,keyasint"`
}

// Apply returns the membership after change c, or an ErrInvalidChange error.
func (m Membership) Apply(c ConfChange) (Membership, error) {
	i := m.indexOf(c.Member.ID)
	switch c.Op {
	case AddLearner:
		return m.add(i, c.Member)
	case PromoteLearner:
		return m.promote(i, c.Member.ID)
	case RemoveMember:
		return m.remove(i, c.Member.ID)
	default:
		return m, ErrInvalidChange.New("unknown membership change %s", c.Op)
	}
}

func (m Membership) add(i int, member Member) (Membership, error) {
	if i >= 0 {
		return m, ErrInvalidChange.New("replica %s is already a member", member.ID)
	}
	if member.ID == 0 {
		return m, ErrInvalidChange.New("replica ID is zero")
	}
	member.IsLearner = true
	return NewMembership(append(slices.Clone(m.Members), member)...), nil
}

func (m Membership) promote(i int, id ReplicaID) (Membership, error) {
	if i < 0 || !m.Members[i].IsLearner {
		return m, ErrInvalidChange.New("replica %s is not a learner", id)
	}
	members := slices.Clone(m.Members)
	members[i].IsLearner = false
	return Membership{Members: members}, nil
}

func (m Membership) remove(i int, id ReplicaID) (Membership, error) {
	if i < 0 {
		return m, ErrInvalidChange.New("replica %s is not a member", id)
	}
	if !m.Members[i].IsLearner && m.VoterCount() == 1 {
		return m, ErrInvalidChange.New("replica %s is the last voter", id)
	}
	return Membership{Members: slices.Delete(slices.Clone(m.Members), i, i+1)}, nil
}
