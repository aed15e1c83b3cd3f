package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	kindPeer = "Peer" // one object an instance: where others tell it what they do
	// lookEvery is how often it is looked whether there is something to tell.
	lookEvery = 10 * time.Millisecond
	// listEvery is how often the instances are listed anew. An instance that comes
	// introduces itself to all, so this only mends what was lost.
	listEvery = 20 * time.Second
	// listAgain is the pause after a list that failed.
	listAgain = 2 * time.Second
	// removeTimeout bounds the last call of a stopping process, whose grace is nearly over.
	removeTimeout = 300 * time.Millisecond
)

// sharing tells other instances what this one has under way at upstreams, by
// datagrams, and takes what they tell.
type sharing struct {
	e    *Entry
	self peers.Peer
	conn *net.UDPConn

	mu   sync.Mutex
	core *peers.Core
}

// startSharing shares until ctx ends. Without a socket the process serves all the same,
// by what upstreams report.
func (e *Entry) startSharing(ctx context.Context) {
	shared, err := newSharing(e)
	if err != nil {
		logline.Error(err, "nothing is shared with other instances")
		return
	}
	e.shared = shared
	e.loop(func() { shared.run(ctx) })
}

// newSharing opens the socket.
func newSharing(e *Entry) (*sharing, error) {
	s := e.cfg.Settings
	address, err := net.ResolveUDPAddr("udp4", s.Listen.Peers)
	if err != nil {
		return nil, errors.Wrapf(err, "listen.peers %q", s.Listen.Peers)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", s.Listen.Peers)
	}
	self := peers.Peer{Name: s.Instance.Name, Zone: s.Instance.Zone, Address: conn.LocalAddr().String()}
	life := uint64(time.Now().UnixMicro()) // an instance sends far fewer than a million messages a second
	return &sharing{e: e, self: self, conn: conn, core: peers.New(self, life)}, nil
}

// run shares until ctx ends, and then takes this instance off the list.
func (s *sharing) run(ctx context.Context) {
	s.e.loop(func() { s.receive() })
	s.e.loop(func() { s.follow(ctx) })
	for platform.Sleep(ctx, lookEvery) == nil {
		s.tell(time.Now())
	}
	s.conn.Close()
	end, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	s.remove(end, s.self.Name)
}

// follow announces this instance and learns of the others.
func (s *sharing) follow(ctx context.Context) {
	announced := false
	for {
		pause := listAgain
		announced = announced || s.announce(ctx)
		if announced && s.list(ctx) {
			pause = listEvery
		}
		if platform.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (s *sharing) announce(ctx context.Context) bool {
	o, err := resource.Encode(kindPeer, s.self.Name, s.self)
	if err != nil {
		logline.Error(err, "instance not encoded")
		return false
	}
	o.Writer = s.self.Name
	_, err = s.e.cfg.Records.Create(ctx, o)
	if errors.Is(err, platform.ErrConflict) {
		err = s.announceAgain(ctx, o)
	}
	if err != nil {
		logline.Info("instance not announced", "error", err)
	}
	return err == nil
}

// announceAgain replaces what the life before announced.
func (s *sharing) announceAgain(ctx context.Context, o platform.Object) error {
	old, err := s.e.cfg.Records.Get(ctx, kindPeer, s.self.Name)
	if err != nil {
		return err
	}
	if string(old.Spec) == string(o.Spec) {
		return nil
	}
	o.Version = old.Version
	_, err = s.e.cfg.Records.Update(ctx, o)
	return err
}

func (s *sharing) list(ctx context.Context) bool {
	objects, _, err := s.e.cfg.Records.List(ctx, kindPeer)
	if err != nil {
		logline.Info("instances not listed", "error", err)
		return false
	}
	list := make([]peers.Peer, 0, len(objects))
	for _, o := range objects {
		p, err := resource.Decode[peers.Peer](o)
		if err != nil {
			logline.Error(err, "instance unreadable", "name", o.Name)
			continue
		}
		list = append(list, p)
	}
	s.mu.Lock()
	now := time.Now()
	s.core.Listed(now, list)
	abandoned := s.core.Abandoned(now)
	s.mu.Unlock()
	for _, name := range abandoned {
		s.remove(ctx, name)
	}
	return true
}

// remove takes an instance off the list.
func (s *sharing) remove(ctx context.Context, name string) {
	err := s.e.cfg.Records.Delete(ctx, kindPeer, name, 0, s.self.Name, platform.NewNonce())
	logline.Info("instance taken off the list", "name", name, "error", err)
}

// tell sends what has changed since the last message, if it is time to.
func (s *sharing) tell(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work, reads := s.e.state.share(s.core.MostHeard(now), s.core.MostNear(now))
	s.core.Note(reads)
	for _, out := range s.core.Next(now, work, s.e.demand.perSecond(now)) {
		s.send(out.Message, out.To)
	}
}

// asked adds up what callers ask of all instances.
func (s *sharing) asked(now time.Time) map[string]roles.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Demand(now, s.e.demand.perSecond(now))
}

func (s *sharing) send(m peers.Message, to []string) {
	data, err := peers.Encode(m)
	if err != nil {
		logline.Error(err, "work not told")
		return
	}
	for _, address := range to {
		a, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = s.conn.WriteToUDP(data, a)
		}
		if err != nil {
			logline.Debug("work not told", "to", address, "error", err)
		}
	}
}

// receive takes what others tell, until the socket is closed.
func (s *sharing) receive() {
	buf := make([]byte, peers.MaxMessageBytes)
	for {
		n, from, err := s.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logline.Debug("no message of a peer", "error", err)
			continue
		}
		m, err := peers.Decode(buf[:n])
		if err != nil {
			logline.Debug("message of a peer passed over", "from", from, "error", err)
			continue
		}
		s.heard(time.Now(), from.String(), &m)
	}
}

func (s *sharing) heard(now time.Time, from string, m *peers.Message) {
	s.mu.Lock()
	news, reads := s.core.Heard(now, from, m)
	s.mu.Unlock()
	if !news {
		return
	}
	s.e.state.withBook(now, func(b *place.Book) {
		b.Told(now, from, m.Work())
		for i := range reads {
			b.ToldRead(now, reads[i].PartsRead())
		}
	})
}
