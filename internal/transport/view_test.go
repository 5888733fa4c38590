package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dykeledge/internal/controller"
	"dykeledge/internal/view"
)

type viewCore struct {
	AdminCore
	disabled, notLoaded bool
	block               chan struct{}
	entered             chan struct{}
	snapshot            *view.Snapshot
}

func (c *viewCore) Metrics() *controller.Metrics { return controller.NewMetrics() }
func (c *viewCore) ViewEnabled() bool            { return !c.disabled }
func (c *viewCore) HasTeam(name string) bool     { return name == "red" }
func (c *viewCore) Reasons(_ context.Context, _ view.Scope, ids []string) ([]view.Reason, error) {
	return []view.Reason{{Job: ids[0], Why: "no room", Member: "n1"}}, nil
}
func (c *viewCore) View(context.Context, view.Cursor) *view.Snapshot {
	if c.block != nil {
		c.entered <- struct{}{}
		<-c.block
	}
	if c.notLoaded {
		return nil
	}
	return c.snapshot
}

func largeSnapshot(rows int) *view.Snapshot {
	model := view.NewModel([]view.Team{{Name: "red"}})
	for i := range rows {
		model.PutMachine(view.Machine{Name: strings.Repeat("m", 100) + string(rune('a'+i%26)) + strings.Repeat("x", i/26)})
	}
	return model.Snapshot(view.Head{Epoch: 1, Revision: 9})
}

func TestViewAPI(t *testing.T) {
	for _, test := range []struct {
		name, path string
		core       viewCore
		status     int
		want       string
	}{
		{"page", "/view", viewCore{}, 200, "red"},
		{"a team's page", "/view?team=red&epoch=1&seq=1&wait_ms=10", viewCore{}, 200, ""},
		{"unknown team", "/view?team=grey", viewCore{}, 404, `"field":"team"`},
		{"view disabled", "/view", viewCore{disabled: true}, 404, "switched off"},
		{"records not read yet", "/view", viewCore{notLoaded: true}, 503, "not read"},
		{"invalid cursor", "/view?seq=-1", viewCore{}, 400, "whole numbers"},
		{"wait too long", "/view?wait_ms=2001", viewCore{}, 400, "2000"},
		{"reasons", "/view/reasons?jobs=job-000001,job-000002", viewCore{}, 200, "no room"},
		{"reasons without jobs", "/view/reasons", viewCore{}, 400, `"field":"jobs"`},
		{"too many reasons", "/view/reasons?jobs=" + strings.Repeat("job-000001,", 64) + "job-000001", viewCore{}, 400, "64"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.core.snapshot = largeSnapshot(3)
			server := NewAdminServer(&test.core, DefaultAdminLimits())
			checkAdminAnswer(t, server, http.MethodGet, test.path, "", test.status, test.want)
		})
	}
}

// TestSlowReaders checks that slow clients use a limited amount of memory: the connection of a client that
// does not read its answer is closed, and no page is larger than its limit. It also checks that requests
// beyond the allowed number are rejected at once.
func TestSlowReaders(t *testing.T) {
	core := &viewCore{snapshot: largeSnapshot(5000), block: make(chan struct{}), entered: make(chan struct{}, 9)}
	adminServer := NewAdminServer(core, AdminLimits{ViewReaders: 1, WriteTimeout: 50 * time.Millisecond})
	conns := make(chan net.Conn)
	go func() { _ = adminServer.Serve(&pipeListener{conns}) }() // runs until the test process ends
	sendRequest := func() net.Conn {
		t.Helper()
		local, remote := net.Pipe()
		conns <- remote
		if _, err := io.WriteString(local, "GET /admin/v1/view HTTP/1.1\r\nHost: n\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		return local
	}
	slow := sendRequest()
	<-core.entered // the first request holds the only slot, so the next is rejected
	next := sendRequest()
	data := make([]byte, 12)
	if _, err := io.ReadFull(next, data); err != nil || string(data) != "HTTP/1.1 503" {
		t.Fatalf("%q, %v", data, err)
	}
	if err := next.Close(); err != nil {
		t.Error(err)
	}
	close(core.block)
	time.Sleep(200 * time.Millisecond) // the client does not read in this time; on a slower machine the connection is only closed later
	raw, _ := io.ReadAll(slow)         // ends when the connection is closed, with or without an error
	if strings.Contains(string(raw), "HTTP/1.1 200") && len(raw) >= view.MaxPage {
		t.Errorf("%d bytes were sent to a client that did not read them in time", len(raw))
	}
	if page := core.snapshot.AppendPage(nil, view.Operators, view.Cursor{}, 0); len(page) > view.MaxPage+1024 {
		t.Errorf("page has %d bytes, more than the limit", len(page))
	}
}
