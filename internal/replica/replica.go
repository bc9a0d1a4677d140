package replica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	// ticksPerWatch is how often a machine is ticked between two status rounds.
	ticksPerWatch = 5
	// largestMessage bounds what one replica tells another, in bytes.
	largestMessage = 64 << 20
)

// Store makes states durable; Save answers once the state is on disk, or that it may not be.
type Store interface {
	Save(*wire.ReplicaState) error
}

// Replica runs a Machine with a clock, a disk and a network.
type Replica struct {
	scope    base.Scope
	settings Settings
	round    time.Duration
	store    Store
	http     *http.Client
	tasks    base.Group
	saves    chan *Save
	changed  base.Broadcast

	mu         sync.Mutex // held only while the machine runs, never across I/O
	machine    *Machine
	lastTicket uint64
	tickets    map[uint64]chan Result
	lastCall   uint64
	calls      map[uint64]chan *wire.ReplicaReply
	clients    map[string]wireconnect.ReplicasClient
}

// New prepares a replica; state is what the store held at its opening, or nil. A request may take round.
func New(s base.Scope, settings Settings, store Store, state *wire.ReplicaState, web *http.Client, round time.Duration) *Replica {
	settings.NewID = func() string { return settings.Address + "/" + s.Rand.Hex(identityLength) }
	settings.RecordEvent = s.Record
	return &Replica{
		scope: s, settings: settings, round: round, store: store, http: web, saves: make(chan *Save, 1),
		machine: NewMachine(settings, state, s.Clock.Mono()), tickets: map[uint64]chan Result{},
		calls: map[uint64]chan *wire.ReplicaReply{}, clients: map[string]wireconnect.ReplicasClient{},
	}
}

// identityLength makes it improbable that two identities at one address are ever alike.
const identityLength = 6

// Run lets the replica work until the scope ends.
func (r *Replica) Run(s base.Scope) {
	r.tasks.Go(func() { base.ForEach(s, r.saves, r.save) })
	r.step(func(*Machine) {})
	base.Tick(s, r.settings.StatusInterval/ticksPerWatch, func(s base.Scope) {
		r.step(func(m *Machine) { m.Tick(s.Clock.Mono()) })
	})
	r.tasks.Wait()
}

// step runs the machine once and does what it then wants.
func (r *Replica) step(run func(m *Machine)) {
	r.mu.Lock()
	run(r.machine)
	out := r.machine.TakeOutput()
	r.deliver(out)
	r.mu.Unlock()
	if out.Save != nil {
		r.saves <- out.Save // there is never more than one
	}
	for _, request := range out.Requests {
		go r.send(request) // it ends within a round
	}
	if out.ChosenChanged || out.MembershipChanged {
		r.changed.Notify()
	}
}

// deliver hands results and answers to those who wait for them.
func (r *Replica) deliver(out Output) {
	for _, result := range out.Results {
		if waiting := r.tickets[result.Ticket]; waiting != nil {
			delete(r.tickets, result.Ticket)
			waiting <- result
		}
	}
	for _, answer := range out.Responses {
		if waiting := r.calls[answer.Call]; waiting != nil {
			delete(r.calls, answer.Call)
			waiting <- answer.Reply
		}
	}
}

// save writes a state to the disk and tells the machine how that ended.
func (r *Replica) save(save *Save) {
	err := r.store.Save(save.State)
	if err != nil {
		r.scope.Log.Warn("state not saved", "error", err)
	}
	r.step(func(m *Machine) { m.HandleSaved(r.scope.Clock.Mono(), save.Number, err == nil) })
}

// send asks one replica and gives up after a round.
func (r *Replica) send(request Request) {
	ctx, cancel := context.WithTimeout(r.scope.Context, r.round)
	defer cancel()
	var reply *wire.ReplicaReply
	response, err := r.client(request.To).Exchange(ctx, connect.NewRequest(request.Payload))
	if err == nil {
		reply = response.Msg
	}
	if r.scope.Err() != nil {
		return
	}
	r.step(func(m *Machine) { m.HandleReply(r.scope.Clock.Mono(), request.ID, reply) })
}

// client returns the client for a replica's address.
func (r *Replica) client(address string) wireconnect.ReplicasClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	client := r.clients[address]
	if client == nil {
		client = wireconnect.NewReplicasClient(r.http, "http://"+address, connect.WithReadMaxBytes(largestMessage))
		r.clients[address] = client
	}
	return client
}

// server answers the other replicas.
type server struct{ replica *Replica }

// Handler serves the other replicas.
func (r *Replica) Handler() (path string, handler http.Handler) {
	return wireconnect.NewReplicasHandler(server{r}, httpserver.HandlerOptions(), connect.WithReadMaxBytes(largestMessage))
}

// Exchange answers one question.
func (v server) Exchange(ctx context.Context, request *connect.Request[wire.ReplicaRequest]) (*connect.Response[wire.ReplicaReply], error) {
	r := v.replica
	answer := make(chan *wire.ReplicaReply, 1)
	var call uint64
	r.step(func(m *Machine) {
		r.lastCall++
		call = r.lastCall
		r.calls[call] = answer
		m.HandleRequest(r.scope.Clock.Mono(), call, request.Msg)
	})
	select {
	case reply := <-answer:
		return connect.NewResponse(reply), nil
	case <-ctx.Done():
	case <-r.scope.Done():
	}
	r.mu.Lock()
	delete(r.calls, call)
	r.mu.Unlock()
	return nil, base.NewFault(base.Unreachable, "", "no answer in time")
}

// wait opens a ticket and waits for its result.
func (r *Replica) wait(s base.Scope, open func(m *Machine, now time.Duration, ticket uint64)) Result {
	result := make(chan Result, 1)
	var ticket uint64
	r.step(func(m *Machine) {
		r.lastTicket++
		ticket = r.lastTicket
		r.tickets[ticket] = result
		open(m, r.scope.Clock.Mono(), ticket)
	})
	select {
	case done := <-result:
		return done
	case <-s.Done():
	case <-r.scope.Done():
	}
	r.mu.Lock()
	delete(r.tickets, ticket)
	r.mu.Unlock()
	return Result{Ticket: ticket, Err: base.NewFault(base.Uncertain, "", "no result in time")}
}

// Change replaces the value of a key. It returns once a majority of disks has the new version or, where change
// gives nil, once a majority has confirmed that the value seen was the newest. After an error the outcome is open.
func (r *Replica) Change(s base.Scope, key string, change func(old []byte) ([]byte, error)) error {
	return r.wait(s, func(m *Machine, now time.Duration, ticket uint64) { m.Change(now, ticket, key, change) }).Err
}

// Read gives the newest value of a key as of some moment since the call.
func (r *Replica) Read(s base.Scope, key string) ([]byte, error) {
	result := r.wait(s, func(m *Machine, now time.Duration, ticket uint64) { m.Read(now, ticket, key) })
	return result.Version.GetValue(), result.Err
}

// QuorumRead asks all voters what they hold of a key, without becoming its owner.
func (r *Replica) QuorumRead(s base.Scope, key string) Result {
	return r.wait(s, func(m *Machine, now time.Duration, ticket uint64) { m.QuorumRead(now, ticket, key) })
}

// Leave has a learner take this replica's place, where one is ready.
func (r *Replica) Leave(s base.Scope) error {
	return r.wait(s, func(m *Machine, now time.Duration, ticket uint64) { m.Leave(now, ticket) }).Err
}

// TransferOwnership lets another voter take over each key that this replica owns.
func (r *Replica) TransferOwnership(s base.Scope, keys ...string) {
	for _, key := range keys {
		if !r.Owns(key) {
			continue
		}
		for _, address := range r.Voters() {
			if address != r.settings.Address && r.offer(s, address, key) {
				r.scope.Record("duty", key, "handed to "+address)
				break
			}
		}
	}
}

// offer asks a voter to take over a key.
func (r *Replica) offer(s base.Scope, address, key string) bool {
	ctx, cancel := context.WithTimeout(s, r.round)
	defer cancel()
	var id string
	var generation uint64
	r.inspect(func(m *Machine) { id, generation = m.state.Id, m.generation() })
	reply, err := r.client(address).Exchange(ctx, connect.NewRequest(&wire.ReplicaRequest{
		From: id, Address: r.settings.Address, Generation: generation,
		Ask: &wire.ReplicaRequest_Own{Own: &wire.OwnAsk{Key: key}},
	}))
	return err == nil && reply.Msg.Standing == wire.Standing_GRANTED
}

// inspect runs a read of the machine under its lock, with the present time.
func (r *Replica) inspect(at func(m *Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.now = r.scope.Clock.Mono()
	at(r.machine)
}

// Changed is closed when a newer version is known to be chosen, or the members have changed.
func (r *Replica) Changed() <-chan struct{} { return r.changed.Next() }

// Chosen gives the newest version of a key known here to be chosen, or nil.
func (r *Replica) Chosen(key string) (version *wire.Version) {
	r.inspect(func(m *Machine) { version = m.Chosen(key) })
	return version
}

// ChosenAsOf gives the newest version of a key known here to be chosen, and a moment of the steady clock before which no
// newer one was chosen; known is false while no majority has told.
func (r *Replica) ChosenAsOf(key string) (version *wire.Version, asOf time.Duration, known bool) {
	r.inspect(func(m *Machine) { version, asOf, known = m.ChosenAsOf(key) })
	return version, asOf, known
}

// Accepted gives the version of a key on this replica's own disk, chosen or not, or nil.
func (r *Replica) Accepted(key string) (version *wire.Version) {
	r.inspect(func(m *Machine) { version = m.durable.Registers[key].GetAccepted() })
	return version
}

// IsVoter says whether this replica is a voter.
func (r *Replica) IsVoter() (votes bool) {
	r.inspect(func(m *Machine) { votes = m.votes() })
	return votes
}

// ReplicatedAsOf tells when the last round began in which a majority answered, by the steady clock; ok is false if the
// newest version of the key was then on too few disks, or if there was no such round.
func (r *Replica) ReplicatedAsOf(key string) (began time.Duration, ok bool) {
	r.inspect(func(m *Machine) { began, ok = m.ReplicatedAsOf(key) })
	return began, ok
}

// LastMajority tells when the last round began in which a majority answered, if there was one.
func (r *Replica) LastMajority() (began time.Duration, ok bool) {
	r.inspect(func(m *Machine) { began, ok = m.majorityAt, m.confirmed })
	return began, ok
}

// Owner gives the address of a key's owner, where it is a voter, and the term.
func (r *Replica) Owner(key string) (address string, term *wire.Term) {
	r.inspect(func(m *Machine) {
		owner, promised := m.Owner(key)
		address, term = owner.GetAddress(), promised
	})
	return address, term
}

// Owns says whether this replica owns a key.
func (r *Replica) Owns(key string) bool {
	owner, _ := r.Owner(key)
	return owner == r.settings.Address
}

// Copies says how many voters held the newest version of a key when a majority was last heard.
func (r *Replica) Copies(key string) (copies int) {
	r.inspect(func(m *Machine) { copies = m.copies[key] })
	return copies
}

// Voters gives the voters' addresses, as far as they are known, sorted.
func (r *Replica) Voters() (addresses []string) {
	r.inspect(func(m *Machine) { addresses = addressesOf(m.members()) })
	return addresses
}

// HeardWithin says whether the voter at an address was heard lately.
func (r *Replica) HeardWithin(address string, lately time.Duration) (hears bool) {
	r.inspect(func(m *Machine) { hears = m.HeardWithin(address, lately) })
	return hears
}

// View tells how this replica stands.
func (r *Replica) View() (view View) {
	r.inspect(func(m *Machine) { view = m.View() })
	return view
}

// SetSeeds takes other seeds.
func (r *Replica) SetSeeds(seeds []string) {
	r.inspect(func(m *Machine) { m.settings.Seeds = seeds })
}
