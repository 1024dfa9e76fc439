package admission

// Scheduler is a bounded packet queue that is fair between services: deficit
// round robin (Shreedhar and Varghese, 1995) on the way out, dynamic thresholds
// (Choudhury and Hahne, 1998) on the way in. A service's queue may hold as many
// packets as are free in the whole, so a flood always leaves room for others.
//
// Push and Pop do not allocate once a service has been seen.
type Scheduler[T any] struct {
	quantum int
	nodes   []node[T]
	free    int32 // head of the list of free nodes
	nfree   int
	index   map[uint32]int32
	queues  []packetQueue
	// active is the last queue of the circular list of queues with packets.
	active int32
	length int
}

type node[T any] struct {
	next int32
	cost int32
	item T
}

type packetQueue struct {
	service    uint32
	head, tail int32
	next       int32
	length     int
	deficit    int
	fresh      bool // has not had its quantum in this round
	dropped    uint64
}

const none = int32(-1)

// NewScheduler returns a scheduler for at most capacity packets that serves
// packets of up to quantum in cost from a service in turn. The cost is in the
// unit of what is scarce: 1 a packet for a processor, bytes for a link. A
// quantum of at least the greatest cost makes Pop constant in time.
func NewScheduler[T any](capacity, quantum int) *Scheduler[T] {
	s := &Scheduler[T]{
		quantum: quantum,
		nodes:   make([]node[T], capacity),
		nfree:   capacity,
		index:   make(map[uint32]int32),
		active:  none,
	}
	for i := range s.nodes {
		s.nodes[i].next = int32(i) + 1
	}
	s.nodes[capacity-1].next = none
	return s
}

// Len returns the number of packets held.
func (s *Scheduler[T]) Len() int { return s.length }

// DropCount returns the number of packets of a service that were refused.
func (s *Scheduler[T]) DropCount(service uint32) uint64 {
	if i, ok := s.index[service]; ok {
		return s.queues[i].dropped
	}
	return 0
}

// Enqueue adds a packet. It reports false if the service's queue may
// not grow.
func (s *Scheduler[T]) Enqueue(service uint32, cost int, item T) bool {
	i := s.queue(service)
	q := &s.queues[i]
	if q.length >= s.nfree {
		q.dropped++
		return false
	}
	n := s.free
	s.free = s.nodes[n].next
	s.nodes[n] = node[T]{next: none, cost: int32(cost), item: item}
	if q.length == 0 {
		q.head = n
		s.activate(i)
	} else {
		s.nodes[q.tail].next = n
	}
	q.tail = n
	q.length++
	s.nfree--
	s.length++
	return true
}

func (s *Scheduler[T]) queue(service uint32) int32 {
	i, ok := s.index[service]
	if !ok {
		i = int32(len(s.queues))
		s.queues = append(s.queues, packetQueue{service: service, next: none})
		s.index[service] = i
	}
	return i
}

// activate puts a queue at the end of the round.
func (s *Scheduler[T]) activate(i int32) {
	q := &s.queues[i]
	q.deficit = 0
	q.fresh = true
	if s.active == none {
		q.next = i
	} else {
		q.next = s.queues[s.active].next
		s.queues[s.active].next = i
	}
	s.active = i
}

// Dequeue returns the next packet and its service.
func (s *Scheduler[T]) Dequeue() (item T, service uint32, ok bool) {
	for s.active != none {
		i := s.queues[s.active].next
		q := &s.queues[i]
		if q.fresh {
			q.deficit += s.quantum
			q.fresh = false
		}
		if int(s.nodes[q.head].cost) <= q.deficit {
			return s.take(i), q.service, true
		}
		q.fresh = true
		s.active = i
	}
	return item, 0, false
}

// take removes the head of queue i, which is first in the round.
func (s *Scheduler[T]) take(i int32) T {
	q := &s.queues[i]
	n := q.head
	item := s.nodes[n].item
	q.deficit -= int(s.nodes[n].cost)
	q.head = s.nodes[n].next
	q.length--
	s.nodes[n] = node[T]{next: s.free}
	s.free = n
	s.nfree++
	s.length--
	if q.length == 0 {
		s.deactivate(i)
	}
	return item
}

// deactivate removes queue i, which is first in the round.
func (s *Scheduler[T]) deactivate(i int32) {
	if s.active == i {
		s.active = none
		return
	}
	s.queues[s.active].next = s.queues[i].next
}
