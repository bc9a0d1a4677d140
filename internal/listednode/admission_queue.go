package listednode

import (
	"sync"
	"time"

	"github.com/gammazero/deque"

	"curlewreach/base"
)

// serviceTimeSmoothing is the weight of the newest request in the average service time.
const serviceTimeSmoothing = 0.1

// waiter is a request that waits for admission.
type waiter struct {
	deadline  time.Duration
	grant     chan *base.Fault // receives nil on admission, otherwise the reason of rejection
	abandoned bool             // it stopped waiting but is still in the queue
}

// groupQueue holds the waiting requests of a group, for stride scheduling: the group with the lowest pass
// is next, and each admission adds 1/weight to its pass.
type groupQueue struct {
	group   string
	waiting deque.Deque[*waiter]
	weight  float64
	pass    float64
	granted uint64 // number of admissions so far
}

// AdmissionQueue bounds the requests in flight at an upstream or a node. Others wait in a bounded queue.
// Groups are served in proportion to the weights of their shares. It is safe for concurrent use.
type AdmissionQueue struct {
	mu          sync.Mutex
	clock       base.Clock
	limit       int // of requests in flight
	maxWaiting  int
	inFlight    int
	waiting     int
	virtualTime float64                // the highest pass, before its admission, of a group served so far
	serviceTime float64                // average in seconds, 0 before the first request has ended
	groups      map[string]*groupQueue // by name
}

// NewAdmissionQueue returns a queue that admits limit requests at a time and lets maxWaiting others wait.
func NewAdmissionQueue(clock base.Clock, limit, maxWaiting int) *AdmissionQueue {
	return &AdmissionQueue{clock: clock, limit: max(limit, 1), maxWaiting: maxWaiting, groups: map[string]*groupQueue{}}
}

// SetLimit sets how many requests may be in flight.
func (q *AdmissionQueue) SetLimit(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = max(limit, 1)
	q.admitWaiting()
}

// InFlight returns the number of requests in flight.
func (q *AdmissionQueue) InFlight() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inFlight
}

// Granted returns the number of admissions so far, by group.
func (q *AdmissionQueue) Granted() map[string]uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	granted := map[string]uint64{}
	for group, queue := range q.groups {
		granted[group] = queue.granted
	}
	return granted
}

// Acquire waits for admission until the deadline. The caller calls release when its request has ended. The
// fault is of kind Overloaded, with the expected time until a request like this is admitted, if the queue is full or the
// wait would leave less than the average service time until the deadline, and Expired if the deadline has passed.
func (q *AdmissionQueue) Acquire(s base.Scope, group string, weight float64, deadline time.Duration) (release func(), fault *base.Fault) {
	q.mu.Lock()
	queue := q.groups[group]
	if queue == nil {
		queue = &groupQueue{group: group}
		q.groups[group] = queue
	}
	queue.weight = max(weight, 0.001)
	if q.inFlight < q.limit && q.waiting == 0 {
		q.admit(queue)
		q.mu.Unlock()
		return q.releaseFunc(), nil
	}
	timeLeft := deadline - q.clock.Mono()
	retryAfter := q.expectedWait(queue)
	if retryAfter > 0 && retryAfter+base.ScaleDuration(time.Second, q.serviceTime) > timeLeft {
		q.mu.Unlock()
		return nil, base.NewFault(base.Overloaded, "", "the wait would leave no time for the work").WithRetryAfter(retryAfter)
	}
	if q.waiting >= q.maxWaiting && !q.evict(queue) {
		q.mu.Unlock()
		return nil, base.NewFault(base.Overloaded, "", "the queue of group %q is full", group).WithRetryAfter(retryAfter)
	}
	w := &waiter{deadline: deadline, grant: make(chan *base.Fault, 1)}
	if queue.waiting.Len() == 0 {
		queue.pass = max(queue.pass, q.virtualTime)
	}
	queue.waiting.PushBack(w)
	q.waiting++
	q.mu.Unlock()

	timer := time.NewTimer(timeLeft)
	defer timer.Stop()
	select {
	case fault := <-w.grant:
		if fault != nil {
			return nil, fault
		}
		return q.releaseFunc(), nil
	case <-s.Done():
	case <-timer.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case fault := <-w.grant:
		if fault == nil {
			q.inFlight--
			q.admitWaiting()
		}
	default:
		w.abandoned = true
		q.waiting--
	}
	return nil, base.NewFault(base.Expired, "", "the deadline passed in the queue")
}

// expectedWait returns how long a request that is added to the queue now is expected to wait; 0 until a service time has
// been measured. q.mu must be held.
func (q *AdmissionQueue) expectedWait(queue *groupQueue) time.Duration {
	return base.ScaleDuration(time.Second, q.serviceTime*q.turnsAhead(queue)/float64(q.limit))
}

// turnsAhead estimates the number of admissions until a request that is added to the queue now is admitted.
// q.mu must be held.
func (q *AdmissionQueue) turnsAhead(queue *groupQueue) float64 {
	total := 0.0
	for _, each := range q.groups {
		if each.waiting.Len() > 0 || each == queue {
			total += each.weight
		}
	}
	return float64(queue.waiting.Len()+1) * total / queue.weight
}

// evict removes the newest request of the group with the longest queue for its weight, if that is longer
// than the newcomer's would become, and reports whether it did. q.mu must be held.
func (q *AdmissionQueue) evict(newcomer *groupQueue) bool {
	var fullest *groupQueue
	for _, each := range q.groups {
		if each.waiting.Len() > 0 && (fullest == nil || relativeLength(each) > relativeLength(fullest)) {
			fullest = each
		}
	}
	if fullest == nil || fullest == newcomer || relativeLength(fullest) <= (float64(newcomer.waiting.Len())+1)/newcomer.weight {
		return false
	}
	last := fullest.waiting.PopBack()
	if !last.abandoned {
		q.waiting--
		last.grant <- base.NewFault(base.Overloaded, "", "the queue is full and another group is owed its place").WithRetryAfter(q.expectedWait(fullest))
	}
	return true
}

// relativeLength returns the length of a queue in proportion to the group's weight.
func relativeLength(queue *groupQueue) float64 { return float64(queue.waiting.Len()) / queue.weight }

// admit counts an admission of a group. q.mu must be held.
func (q *AdmissionQueue) admit(queue *groupQueue) {
	queue.pass = max(queue.pass, q.virtualTime) + 1/queue.weight
	q.virtualTime = max(q.virtualTime, queue.pass-1/queue.weight)
	queue.granted++
	q.inFlight++
}

// releaseFunc returns the function that ends an admitted request, records its service time and admits the
// next one.
func (q *AdmissionQueue) releaseFunc() func() {
	startedAt := q.clock.Mono()
	var once sync.Once
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.inFlight--
			duration := (q.clock.Mono() - startedAt).Seconds()
			if q.serviceTime == 0 {
				q.serviceTime = duration
			}
			q.serviceTime += serviceTimeSmoothing * (duration - q.serviceTime)
			q.admitWaiting()
		})
	}
}

// dropLate rejects the requests at the head of a queue that have too little time left, and drops abandoned
// ones. q.mu must be held.
func (q *AdmissionQueue) dropLate(queue *groupQueue) {
	minDeadline := q.clock.Mono() + base.ScaleDuration(time.Second, q.serviceTime)
	for queue.waiting.Len() > 0 {
		first := queue.waiting.Front()
		if !first.abandoned && first.deadline > minDeadline {
			return
		}
		queue.waiting.PopFront()
		if !first.abandoned {
			q.waiting--
			first.grant <- base.NewFault(base.Overloaded, "", "too little time was left when its turn came").WithRetryAfter(q.expectedWait(queue))
		}
	}
}

// admitWaiting admits waiting requests while the limit allows it. q.mu must be held.
func (q *AdmissionQueue) admitWaiting() {
	for q.inFlight < q.limit {
		var next *groupQueue
		for _, each := range q.groups {
			q.dropLate(each)
			if each.waiting.Len() > 0 && (next == nil || each.pass < next.pass || each.pass == next.pass && each.group < next.group) {
				next = each
			}
		}
		if next == nil {
			return
		}
		first := next.waiting.PopFront()
		q.waiting--
		q.admit(next)
		first.grant <- nil
	}
}
