package transport

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dykeledge/internal/config"
	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
)

type fakeCore struct {
	AdminCore
	received         chan string
	version          uint64
	stateServiceDown bool
}

func (f *fakeCore) PeerHeartbeat() protocol.PeerHeartbeat { return protocol.PeerHeartbeat{} }
func (f *fakeCore) Incarnation() uint64                   { return 1 }
func (f *fakeCore) ShardDemands() []protocol.ShardDemand  { return nil }
func (f *fakeCore) ReceivePeerHeartbeat(member string, _ protocol.PeerHeartbeat) {
	f.received <- "heartbeat " + member
}
func (f *fakeCore) CancellationDigest(string) (protocol.CancellationDigest, bool) {
	return protocol.CancellationDigest{}, false
}
func (f *fakeCore) ReceiveCancellationDigest(member string, _ protocol.CancellationDigest) {
	f.received <- "digest " + member
}
func (f *fakeCore) ReceiveShardDemands(member string, _ protocol.ShardDemands) {
	f.received <- "demands " + member
}
func (f *fakeCore) PeerDisconnected(member string)                                { f.received <- "lost " + member }
func (f *fakeCore) Metrics() *controller.Metrics                                  { return controller.NewMetrics() }
func (f *fakeCore) Evictions(context.Context) ([]controller.VictimSetView, error) { return nil, nil }

func (f *fakeCore) Settings(context.Context) (controller.OperatorSettings, uint64, error) {
	if f.stateServiceDown {
		return controller.OperatorSettings{}, 0, controller.ErrStoreUnavailable
	}
	return controller.DefaultOperatorSettings(), f.version, nil
}

func (f *fakeCore) ChangeSettings(ctx context.Context, version uint64, raw json.RawMessage) (controller.OperatorSettings, uint64, error) {
	settings, current, err := f.Settings(ctx)
	if err != nil {
		return settings, current, err
	}
	if settings, err = settings.Change(raw); err == nil && version != current {
		err = controller.ErrVersionConflict
	}
	return settings, current + 1, err
}

func (f *fakeCore) Teams(context.Context) ([]controller.TeamView, error) {
	if f.stateServiceDown {
		return nil, controller.ErrStoreUnavailable
	}
	return []controller.TeamView{{Name: "red", Version: f.version, State: controller.TeamInForce}}, nil
}

func (f *fakeCore) Team(ctx context.Context, name string) (controller.TeamView, error) {
	teams, err := f.Teams(ctx)
	if err != nil || name != teams[0].Name {
		return controller.TeamView{}, cmp.Or(err, controller.ErrUnknownTeam)
	}
	return teams[0], nil
}

func (f *fakeCore) ChangeTeam(ctx context.Context, name string, version uint64, raw json.RawMessage) (controller.TeamView, error) {
	teams, err := f.Teams(ctx)
	switch {
	case err != nil:
		return controller.TeamView{}, err
	case name == "old controller":
		return controller.TeamView{}, &controller.LayoutGateError{Members: []string{"n1"}}
	case name != teams[0].Name:
		return controller.TeamView{}, controller.ErrUnknownTeam
	case version != f.version:
		return controller.TeamView{}, controller.ErrVersionConflict
	case string(raw) != `{"cpus":1}`:
		return controller.TeamView{}, &controller.FieldError{Field: "cpus", Expected: "1"}
	}
	return teams[0], nil
}

func (f *fakeCore) JobViews(context.Context, string, string, int) ([]controller.JobView, bool, error) {
	return []controller.JobView{}, false, nil
}

func (f *fakeCore) MachineInfo(context.Context, string) (controller.MachineInfo, bool, error) {
	return controller.MachineInfo{}, false, nil
}

// pipeListener takes connections made with net.Pipe.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestOnePortForPeersAndHTTP(t *testing.T) {
	frames := func(messages ...protocol.PeerMessage) (data []byte) {
		var err error
		for _, message := range messages {
			if data, err = protocol.AppendFrame(data, message); err != nil {
				t.Fatal(err)
			}
		}
		return data
	}
	hello := frames(protocol.Hello{Member: "n-1", Incarnation: 4}, protocol.PeerHeartbeat{StateOK: true})
	cases := []struct {
		name       string
		writes     [][]byte // written a second apart
		http       bool     // the connection reaches the HTTP server, whole
		received   []string
		portCloses bool // the port closes it by itself
	}{
		{"HTTP", [][]byte{[]byte("GET /metrics HTTP/1.1\r\n\r\n")}, true, nil, false},
		{"HTTP, one byte first", [][]byte{[]byte("G"), []byte("ET /metrics HTTP/1.1\r\n\r\n")}, true, nil, false},
		{"a peer", [][]byte{hello}, false, []string{"heartbeat n-1"}, false},
		{"a peer, half-sent first", [][]byte{hello[:1], hello[1:5], hello[5:]}, false, []string{"heartbeat n-1"}, false},
		{"silent", nil, false, nil, true},
		{"malformed frame", [][]byte{{protocol.FrameMagic, 7, 7, 7, 7, 7, 7, 7}}, false, nil, true},
		{"an unknown peer", [][]byte{frames(protocol.Hello{Member: "x", Incarnation: 4})}, false, nil, true},
		{"a frame that never ends", [][]byte{hello[:9]}, false, nil, true},
		{"malformed after hello", [][]byte{hello, {protocol.FrameMagic, 7, 7, 7, 7, 7, 7}}, false, []string{"heartbeat n-1", "lost n-1"}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				port := openSharedPort()
				for _, part := range test.writes {
					_, _ = port.conn.Write(part) // the port may have closed it before
					time.Sleep(time.Second)
				}
				closed := make(chan struct{})
				go func() {
					_, _ = io.ReadAll(port.conn) // only its end matters
					close(closed)
				}()
				time.Sleep(5 * time.Second) // less than a frame may take: what is open stays open
				if test.name == "a frame that never ends" {
					time.Sleep(10 * time.Second)
				}
				synctest.Wait()
				port.checkHTTP(t, test.http)
				port.checkReceived(t, test.received)
				if isClosed(closed) != test.portCloses {
					t.Errorf("the port has closed the connection: %t, want %t", isClosed(closed), test.portCloses)
				}
				port.close(t)
			})
		})
	}
}

// sharedPort is a port for peers and HTTP with one connection to it.
type sharedPort struct {
	core      *fakeCore
	listener  *pipeListener
	conn      net.Conn
	firstLine chan string // what HTTP got
}

// openSharedPort serves a port that knows peer n-1, and connects to it.
func openSharedPort() *sharedPort {
	port := &sharedPort{
		core:      &fakeCore{received: make(chan string, 10)},
		listener:  &pipeListener{make(chan net.Conn, 1)},
		firstLine: make(chan string, 1),
	}
	cfg := &config.Settings{MemberName: "n-0", Known: []config.Peer{{MemberName: "n-1"}}}
	httpConns := NewPeers(cfg, port.core, slog.New(slog.DiscardHandler)).Split(port.listener)
	go func() {
		conn, err := httpConns.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(conn).ReadString('\n') // what is missing shows in the check
		port.firstLine <- line
	}()
	var theirs net.Conn
	port.conn, theirs = net.Pipe()
	port.listener.conns <- theirs
	return port
}

// checkHTTP expects that HTTP has got the request, whole, or nothing.
func (p *sharedPort) checkHTTP(t *testing.T, want bool) {
	t.Helper()
	select {
	case line := <-p.firstLine:
		if !want || !strings.HasPrefix(line, "GET /metrics") {
			t.Errorf("HTTP got %q", line)
		}
	default:
		if want {
			t.Error("HTTP got nothing")
		}
	}
}

// checkReceived expects that the controller has heard these things first.
func (p *sharedPort) checkReceived(t *testing.T, wanted []string) {
	t.Helper()
	for _, want := range wanted {
		select {
		case heard := <-p.core.received:
			if heard != want {
				t.Errorf("heard %q, want %q", heard, want)
			}
		default:
			t.Errorf("did not hear %q", want)
		}
	}
}

// close ends the connection and the port, and leaves their goroutines time to end.
func (p *sharedPort) close(t *testing.T) {
	t.Helper()
	if err := p.conn.Close(); err != nil {
		t.Error(err)
	}
	close(p.listener.conns)
	time.Sleep(time.Minute)
}

// isClosed tells whether a channel that nothing is sent on is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func TestAdminAPI(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		down                     bool
		status                   int
		want                     string
	}{
		{"read", "GET", "/settings", "", false, 200, `"alpha":0.31`},
		{"change", "PUT", "/settings", `{"version":7,"settings":{"alpha":0.5}}`, false, 200, `"alpha":0.5`},
		{"old version", "PUT", "/settings", `{"version":6,"settings":{"alpha":0.5}}`, false, 409, "changed since"},
		{"no version", "PUT", "/settings", `{"settings":{"alpha":0.5}}`, false, 400, `"field":"version"`},
		{"unknown name", "PUT", "/settings", `{"version":7,"settings":{"beta":0.5}}`, false, 400, `"field":"beta"`},
		{"out of range", "PUT", "/settings", `{"version":7,"settings":{"alpha":1.5}}`, false, 400, `"field":"alpha"`},
		{"one bad of two", "PUT", "/settings", `{"version":7,"settings":{"alpha":0.5,"move_every_s":0}}`, false, 400, `"field":"move_every_s"`},
		{"wrong type", "PUT", "/settings", `{"version":7,"settings":{"log_level":3}}`, false, 400, `"field":"log_level"`},
		{"null", "PUT", "/settings", `{"version":7,"settings":{"alpha":null}}`, false, 400, `"field":"alpha"`},
		{"nothing", "PUT", "/settings", `{"version":7,"settings":{}}`, false, 400, `"field":"settings"`},
		{"not JSON", "PUT", "/settings", `alpha=1`, false, 400, `"field":"body"`},
		{"no state service", "PUT", "/settings", `{"version":7,"settings":{"alpha":0.5}}`, true, 503, "state service"},
		{"teams", "GET", "/teams", "", false, 200, `"state":"in force"`},
		{"one team", "GET", "/teams/red", "", false, 200, `"version":7`},
		{"a team that is not there", "GET", "/teams/pink", "", false, 404, "no such team"},
		{"change a team", "PUT", "/teams/red", `{"version":7,"team":{"cpus":1}}`, false, 200, `"name":"red"`},
		{"old version of a team", "PUT", "/teams/red", `{"version":6,"team":{"cpus":1}}`, false, 409, "changed since"},
		{"no version of a team", "PUT", "/teams/red", `{"team":{"cpus":1}}`, false, 400, `"field":"version"`},
		{"bad bounds", "PUT", "/teams/red", `{"version":7,"team":{"cpus":2}}`, false, 400, `"field":"cpus"`},
		{"a team's change is not JSON", "PUT", "/teams/red", `cpus=1`, false, 400, `"field":"body"`},
		{"unknown team", "PUT", "/teams/pink", `{"version":7,"team":{"cpus":1}}`, false, 404, "no such team"},
		{"a controller that does not read it", "PUT", "/teams/old%20controller", `{"version":7,"team":{"cpus":1}}`, false, 503, "missing: n1"},
		{"no state service for teams", "PUT", "/teams/red", `{"version":7,"team":{"cpus":1}}`, true, 503, "state service"},
		{"page too large", "GET", "/jobs?limit=201", "", false, 400, `"field":"limit"`},
		{"page", "GET", "/jobs?limit=2", "", false, 200, `"items":[]`},
		{"unknown machine", "GET", "/machines/host-1", "", false, 404, "no such machine"},
		{"unknown path", "GET", "/teapots", "", false, 404, "Cannot GET"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := NewAdminServer(&fakeCore{version: 7, stateServiceDown: test.down}, DefaultAdminLimits())
			checkAdminAnswer(t, server, test.method, test.path, test.body, test.status, test.want)
		})
	}
}

// checkAdminAnswer sends a request and expects a status and a text in the answer's body.
func checkAdminAnswer(t *testing.T, server *AdminServer, method, path, body string, status int, want string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://node/admin/v1"+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := server.app.Test(request, -1)
	if err != nil {
		t.Fatal(err)
	}
	raw := readBody(t, resp)
	if resp.StatusCode != status || !strings.Contains(string(raw), want) {
		t.Fatalf("%d %q, want %d with %s", resp.StatusCode, raw, status, want)
	}
	if (resp.Header.Get("Retry-After") != "") != (resp.StatusCode == http.StatusServiceUnavailable) {
		t.Error("Retry-After belongs to 503 and to nothing else")
	}
}

// A link whose other side had given it up was written to for ever, so that side
// never heard this controller again.
func TestSendMessagesEndsWhenPeerCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := &fakeCore{received: make(chan string, 10)}
		peers := NewPeers(&config.Settings{MemberName: "n-0"}, core, slog.New(slog.DiscardHandler))
		mine, theirs := net.Pipe()
		ended := make(chan struct{})
		go func() {
			peers.sendMessages(t.Context(), discardingConn{mine}, "n-1")
			close(ended)
		}()
		go func() { _, _ = io.Copy(io.Discard, theirs) }() // ends with the connection
		time.Sleep(2 * time.Second)
		if isClosed(ended) {
			t.Fatal("it ended although the other side listens")
		}
		if err := theirs.Close(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if !isClosed(ended) {
			t.Error("it goes on although the other side has closed")
		}
		_ = mine.Close() // speak has closed it unless it goes on
	})
}

// discardingConn takes whatever is written, as a socket does whose other side is silent.
type discardingConn struct{ net.Conn }

func (h discardingConn) Write(b []byte) (int, error) { return len(b), nil }
