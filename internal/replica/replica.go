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
	// ticksPerStatusInterval is how many times per status interval the machine is ticked.
	ticksPerStatusInterval = 5
	// maxMessageBytes is the size limit of requests and replies between replicas.
	maxMessageBytes = 64 << 20
)

// Store makes states durable. Save returns nil once the state is on disk; after an error it may or may not be there.
type Store interface {
	Save(*wire.ReplicaState) error
}

// Replica runs a Machine with a clock, a disk and a network.
type Replica struct {
	scope          base.Scope
	settings       Settings
	requestTimeout time.Duration
	store          Store
	httpClient     *http.Client
	tasks          base.Group
	saves          chan *Save
	changed        base.Broadcast

	mu         sync.Mutex // held only while the machine runs, never across I/O
	machine    *Machine
	lastTicket uint64
	tickets    map[uint64]chan Result // receive the results of this process's own operations
	lastCall   uint64
	calls      map[uint64]chan *wire.ReplicaReply    // receive the replies to requests of other replicas
	clients    map[string]wireconnect.ReplicasClient // by address
}

// New returns a replica. state is what the store held when it was opened, or nil; requestTimeout limits each request to
// another replica.
func New(s base.Scope, settings Settings, store Store, state *wire.ReplicaState, httpClient *http.Client, requestTimeout time.Duration) *Replica {
	settings.NewID = func() string { return settings.Address + "/" + s.Rand.Hex(identitySuffixLength) }
	settings.RecordEvent = s.Record
	return &Replica{
		scope: s, settings: settings, requestTimeout: requestTimeout, store: store, httpClient: httpClient, saves: make(chan *Save, 1),
		machine: NewMachine(settings, state, s.Clock.Mono()), tickets: map[uint64]chan Result{},
		calls: map[uint64]chan *wire.ReplicaReply{}, clients: map[string]wireconnect.ReplicasClient{},
	}
}

// identitySuffixLength is the length of the random part of an identity; it makes it improbable that two identities at one
// address are equal.
const identitySuffixLength = 6

// Run runs the replica until the scope ends.
func (r *Replica) Run(s base.Scope) {
	r.tasks.Go(func() { base.ForEach(s, r.saves, r.persist) })
	r.step(func(*Machine) {})
	base.Tick(s, r.settings.StatusInterval/ticksPerStatusInterval, func(s base.Scope) {
		r.step(func(m *Machine) { m.Tick(s.Clock.Mono()) })
	})
	r.tasks.Wait()
}

// step runs an operation on the machine and carries out the resulting output.
func (r *Replica) step(run func(m *Machine)) {
	r.mu.Lock()
	run(r.machine)
	out := r.machine.TakeOutput()
	r.deliver(out)
	r.mu.Unlock()
	if out.Save != nil {
		r.saves <- out.Save // never blocks: at most one save is outstanding
	}
	for _, request := range out.Requests {
		go r.send(request) // ends within requestTimeout
	}
	if out.ChosenChanged || out.MembershipChanged {
		r.changed.Notify()
	}
}

// deliver passes results and responses to the goroutines that wait for them.
func (r *Replica) deliver(out Output) {
	for _, result := range out.Results {
		if waiting := r.tickets[result.Ticket]; waiting != nil {
			delete(r.tickets, result.Ticket)
			waiting <- result
		}
	}
	for _, response := range out.Responses {
		if waiting := r.calls[response.Call]; waiting != nil {
			delete(r.calls, response.Call)
			waiting <- response.Reply
		}
	}
}

// persist writes a state to disk and reports the outcome to the machine.
func (r *Replica) persist(request *Save) {
	err := r.store.Save(request.State)
	if err != nil {
		r.scope.Log.Warn("state not saved", "error", err)
	}
	r.step(func(m *Machine) { m.HandleSaved(r.scope.Clock.Mono(), request.Number, err == nil) })
}

// send sends a request to one replica and reports the reply, or nil after requestTimeout or an error, to the machine.
func (r *Replica) send(request Request) {
	ctx, cancel := context.WithTimeout(r.scope.Context, r.requestTimeout)
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

// client returns the RPC client for a replica's address.
func (r *Replica) client(address string) wireconnect.ReplicasClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	client := r.clients[address]
	if client == nil {
		client = wireconnect.NewReplicasClient(r.httpClient, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
		r.clients[address] = client
	}
	return client
}

// server implements the RPC service for the other replicas.
type server struct{ replica *Replica }

// Handler returns the HTTP handler that serves the other replicas.
func (r *Replica) Handler() (path string, handler http.Handler) {
	return wireconnect.NewReplicasHandler(server{r}, httpserver.HandlerOptions(), connect.WithReadMaxBytes(maxMessageBytes))
}

// Exchange handles one request of another replica.
func (s server) Exchange(ctx context.Context, request *connect.Request[wire.ReplicaRequest]) (*connect.Response[wire.ReplicaReply], error) {
	r := s.replica
	replies := make(chan *wire.ReplicaReply, 1)
	var call uint64
	r.step(func(m *Machine) {
		r.lastCall++
		call = r.lastCall
		r.calls[call] = replies
		m.HandleRequest(r.scope.Clock.Mono(), call, request.Msg)
	})
	select {
	case reply := <-replies:
		return connect.NewResponse(reply), nil
	case <-ctx.Done():
	case <-r.scope.Done():
	}
	r.mu.Lock()
	delete(r.calls, call)
	r.mu.Unlock()
	return nil, base.NewFault(base.Unreachable, "", "no answer in time")
}

// await opens a ticket and waits for its result.
func (r *Replica) await(s base.Scope, start func(m *Machine, now time.Duration, ticket uint64)) Result {
	result := make(chan Result, 1)
	var ticket uint64
	r.step(func(m *Machine) {
		r.lastTicket++
		ticket = r.lastTicket
		r.tickets[ticket] = result
		start(m, r.scope.Clock.Mono(), ticket)
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

// Change replaces the value of a key. It returns once a majority of voters has the new version on disk or, if change
// returns nil, once a majority has confirmed that the value passed to it was the newest. After any other
// error than that of change itself, the change may or may not have taken effect.
func (r *Replica) Change(s base.Scope, key string, change func(old []byte) ([]byte, error)) error {
	return r.await(s, func(m *Machine, now time.Duration, ticket uint64) { m.Change(now, ticket, key, change) }).Err
}

// Read returns the value of a key that was the newest at some moment after the call.
func (r *Replica) Read(s base.Scope, key string) ([]byte, error) {
	result := r.await(s, func(m *Machine, now time.Duration, ticket uint64) { m.Read(now, ticket, key) })
	return result.Version.GetValue(), result.Err
}

// QuorumRead asks all voters for their version of a key without acquiring ownership of the key.
func (r *Replica) QuorumRead(s base.Scope, key string) Result {
	return r.await(s, func(m *Machine, now time.Duration, ticket uint64) { m.QuorumRead(now, ticket, key) })
}

// Leave has a learner replace this replica, if one is ready.
func (r *Replica) Leave(s base.Scope) error {
	return r.await(s, func(m *Machine, now time.Duration, ticket uint64) { m.Leave(now, ticket) }).Err
}

// TransferOwnership asks other voters to take over those of the keys that this replica owns.
func (r *Replica) TransferOwnership(s base.Scope, keys ...string) {
	for _, key := range keys {
		if !r.Owns(key) {
			continue
		}
		for _, address := range r.Voters() {
			if address != r.settings.Address && r.requestTakeover(s, address, key) {
				r.scope.Record("duty", key, "handed to "+address)
				break
			}
		}
	}
}

// requestTakeover asks a voter to take over a key, and reports whether it did.
func (r *Replica) requestTakeover(s base.Scope, address, key string) bool {
	ctx, cancel := context.WithTimeout(s, r.requestTimeout)
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

// inspect runs a read on the machine under the lock, with its clock set to the current time.
func (r *Replica) inspect(read func(m *Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.now = r.scope.Clock.Mono()
	read(r.machine)
}

// Changed returns a channel that is closed when a newer version becomes known to be chosen or the membership changes.
func (r *Replica) Changed() <-chan struct{} { return r.changed.Next() }

// Chosen returns the newest version of a key known here to be chosen, or nil.
func (r *Replica) Chosen(key string) (version *wire.Version) {
	r.inspect(func(m *Machine) { version = m.Chosen(key) })
	return version
}

// ChosenAsOf returns the newest version of a key known here to be chosen, and a time of the monotonic clock before which
// no newer one was chosen. known is false if no majority has established such a time yet.
func (r *Replica) ChosenAsOf(key string) (version *wire.Version, asOf time.Duration, known bool) {
	r.inspect(func(m *Machine) { version, asOf, known = m.ChosenAsOf(key) })
	return version, asOf, known
}

// Accepted returns the version of a key on this replica's own disk, chosen or not, or nil.
func (r *Replica) Accepted(key string) (version *wire.Version) {
	r.inspect(func(m *Machine) { version = m.durable.Registers[key].GetAccepted() })
	return version
}

// IsVoter reports whether this replica is a voter.
func (r *Replica) IsVoter() (isVoter bool) {
	r.inspect(func(m *Machine) { isVoter = m.isVoter() })
	return isVoter
}

// ReplicatedAsOf returns when the last status round that a majority replied to began, by the monotonic clock. ok is false
// if there was none, or if the newest version of the key was held by less than a majority.
func (r *Replica) ReplicatedAsOf(key string) (began time.Duration, ok bool) {
	r.inspect(func(m *Machine) { began, ok = m.ReplicatedAsOf(key) })
	return began, ok
}

// LastMajority returns when the last status round that a majority replied to began. ok is false if there was none.
func (r *Replica) LastMajority() (began time.Duration, ok bool) {
	r.inspect(func(m *Machine) { began, ok = m.lastMajorityRound, m.heardMajority })
	return began, ok
}

// Owner returns the address of a key's owner and its term. The address is empty if the owner is not a voter.
func (r *Replica) Owner(key string) (address string, term *wire.Term) {
	r.inspect(func(m *Machine) {
		owner, promised := m.Owner(key)
		address, term = owner.GetAddress(), promised
	})
	return address, term
}

// Owns reports whether this replica owns a key.
func (r *Replica) Owns(key string) bool {
	owner, _ := r.Owner(key)
	return owner == r.settings.Address
}

// Copies returns how many voters held the newest version of a key in the last status round that a majority replied to.
func (r *Replica) Copies(key string) (copies int) {
	r.inspect(func(m *Machine) { copies = m.copies[key] })
	return copies
}

// Voters returns the known voters' addresses, sorted.
func (r *Replica) Voters() (addresses []string) {
	r.inspect(func(m *Machine) { addresses = addressesOf(m.newestMembership()) })
	return addresses
}

// HeardWithin reports whether the voter at an address was heard within the given time before now.
func (r *Replica) HeardWithin(address string, window time.Duration) (heard bool) {
	r.inspect(func(m *Machine) { heard = m.HeardWithin(address, window) })
	return heard
}

// View returns the state of this replica for operators.
func (r *Replica) View() (view View) {
	r.inspect(func(m *Machine) { view = m.View() })
	return view
}

// SetSeeds replaces the seed addresses.
func (r *Replica) SetSeeds(seeds []string) {
	r.inspect(func(m *Machine) { m.settings.Seeds = seeds })
}
