package admission

// Scheduler is a bounded packet queue that is fair between services. It
// dequeues by deficit round robin (Shreedhar and Varghese, 1995) and limits the
// queues by dynamic thresholds (Choudhury and Hahne, 1998). The queue of a
// service may hold as many packets as the whole scheduler has free nodes, so a
// flood always leaves room for other services.
//
// Enqueue and Dequeue do not allocate after the first packet of a service.
type Scheduler[T any] struct {
	quantum    int
	nodes      []node[T]
	freeHead   int32 // first node of the free list
	freeCount  int
	queueIndex map[uint32]int32
	queues     []packetQueue
	// activeTail is the last queue of the circular list of nonempty queues.
	activeTail int32
	length     int
}

type node[T any] struct {
	next int32
	cost int32
	item T
}

type packetQueue struct {
	service      uint32
	head, tail   int32
	next         int32
	length       int
	deficit      int
	isQuantumDue bool // the queue has not received its quantum in this round
	dropped      uint64
}

const noIndex = int32(-1)

// NewScheduler returns a scheduler for at most capacity packets, which serves
// up to quantum of cost from a service per round. The cost is in units of the
// scarce resource: 1 per packet for a processor, bytes for a link. A quantum of
// at least the greatest cost makes Dequeue run in constant time.
func NewScheduler[T any](capacity, quantum int) *Scheduler[T] {
	s := &Scheduler[T]{
		quantum:    quantum,
		nodes:      make([]node[T], capacity),
		freeCount:  capacity,
		queueIndex: make(map[uint32]int32),
		activeTail: noIndex,
	}
	for i := range s.nodes {
		s.nodes[i].next = int32(i) + 1
	}
	s.nodes[capacity-1].next = noIndex
	return s
}

// Len returns the number of queued packets.
func (s *Scheduler[T]) Len() int { return s.length }

// DropCount returns the number of dropped packets of a service.
func (s *Scheduler[T]) DropCount(service uint32) uint64 {
	if i, ok := s.queueIndex[service]; ok {
		return s.queues[i].dropped
	}
	return 0
}

// Enqueue adds a packet. It drops the packet and returns false if the queue of
// the service is at its threshold.
func (s *Scheduler[T]) Enqueue(service uint32, cost int, item T) bool {
	i := s.ensureQueue(service)
	q := &s.queues[i]
	if q.length >= s.freeCount {
		q.dropped++
		return false
	}
	n := s.freeHead
	s.freeHead = s.nodes[n].next
	s.nodes[n] = node[T]{next: noIndex, cost: int32(cost), item: item}
	if q.length == 0 {
		q.head = n
		s.activate(i)
	} else {
		s.nodes[q.tail].next = n
	}
	q.tail = n
	q.length++
	s.freeCount--
	s.length++
	return true
}

func (s *Scheduler[T]) ensureQueue(service uint32) int32 {
	i, ok := s.queueIndex[service]
	if !ok {
		i = int32(len(s.queues))
		s.queues = append(s.queues, packetQueue{service: service, next: noIndex})
		s.queueIndex[service] = i
	}
	return i
}

// activate appends a queue to the round.
func (s *Scheduler[T]) activate(i int32) {
	q := &s.queues[i]
	q.deficit = 0
	q.isQuantumDue = true
	if s.activeTail == noIndex {
		q.next = i
	} else {
		q.next = s.queues[s.activeTail].next
		s.queues[s.activeTail].next = i
	}
	s.activeTail = i
}

// Dequeue returns the next packet and its service.
func (s *Scheduler[T]) Dequeue() (item T, service uint32, ok bool) {
	for s.activeTail != noIndex {
		i := s.queues[s.activeTail].next
		q := &s.queues[i]
		if q.isQuantumDue {
			q.deficit += s.quantum
			q.isQuantumDue = false
		}
		if int(s.nodes[q.head].cost) <= q.deficit {
			return s.removeHead(i), q.service, true
		}
		q.isQuantumDue = true
		s.activeTail = i
	}
	return item, 0, false
}

// removeHead removes the head of queue i, which is first in the round.
func (s *Scheduler[T]) removeHead(i int32) T {
	q := &s.queues[i]
	n := q.head
	item := s.nodes[n].item
	q.deficit -= int(s.nodes[n].cost)
	q.head = s.nodes[n].next
	q.length--
	s.nodes[n] = node[T]{next: s.freeHead}
	s.freeHead = n
	s.freeCount++
	s.length--
	if q.length == 0 {
		s.deactivate(i)
	}
	return item
}

// deactivate removes queue i, which is first in the round, from the round.
func (s *Scheduler[T]) deactivate(i int32) {
	if s.activeTail == i {
		s.activeTail = noIndex
		return
	}
	s.queues[s.activeTail].next = s.queues[i].next
}
