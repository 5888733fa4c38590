//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// This file is the worker on each machine of PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers".

type task struct {
	name    string
	try     uint64
	status  string // pulling, running, flushing, exited
	cause   string
	saved   bool
	ranFrom time.Time
	left    time.Duration // run time left at ranFrom
	ends    time.Time     // of the run or of the save
}

type machine struct {
	p      *platform
	name   string
	hull   machineType
	berth  string
	loaner bool
	addr   string
	rented time.Time
	upAt   time.Time
	gone   time.Time // set under the cloud's mutex

	mu         sync.Mutex
	over       bool
	tasks      []*task
	images     map[string]bool
	fetching   string
	fetchEnds  time.Time
	session    uint64
	tally      uint64
	helm       uint64
	answered   time.Time // when the last answered report was sent, or the session began
	node       int
	wake       chan struct{}
	ended      chan struct{}
	lastReport time.Time
	server     *http.Server
	helmEarly  time.Time // when a higher token last counted as a change
}

func newMachine(p *platform, name string, hull machineType, berth string, loaner bool, boot time.Duration) *machine {
	m := &machine{p: p, name: name, hull: hull, berth: berth, loaner: loaner, rented: time.Now(), upAt: time.Now().Add(boot),
		images: map[string]bool{}, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	m.addr = listener.Addr().String()
	go func() {
		select {
		case <-time.After(boot):
		case <-m.ended:
			_ = listener.Close()
			return
		}
		m.mu.Lock()
		m.session, m.answered = 1, time.Now()
		m.node = rand.Intn(len(p.nodes))
		m.mu.Unlock()
		p.rec.log("%s is up (%s)", m.name, m.berth)
		mux := http.NewServeMux()
		mux.HandleFunc("/commands", m.commands)
		mux.HandleFunc("/status", m.status)
		m.server = &http.Server{Handler: mux}
		go func() { _ = m.server.Serve(listener) }()
		go m.tick()
		m.report()
	}()
	return m
}

// end ends the machine with all that is on it.
func (m *machine) end() {
	m.mu.Lock()
	if m.over {
		m.mu.Unlock()
		return
	}
	m.over = true
	for _, t := range m.tasks {
		if t.status == "running" || t.status == "flushing" {
			m.p.left(m, t, "machine gone")
		}
	}
	m.tasks = nil
	close(m.ended)
	m.mu.Unlock()
	if m.server != nil {
		_ = m.server.Close()
	}
}

func (m *machine) changed() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// tick carries on fetches and runs, and ends the session when its lease is over.
func (m *machine) tick() {
	for {
		select {
		case <-m.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		if !m.over {
			m.advance(time.Now())
		}
		m.mu.Unlock()
	}
}

func (m *machine) advance(now time.Time) {
	if now.Sub(m.answered) > m.p.lease {
		for _, t := range m.tasks {
			if t.status == "running" || t.status == "flushing" {
				m.p.left(m, t, "lease over")
			}
		}
		m.p.rec.log("%s: lease over in session %d with %d tasks", m.name, m.session, len(m.tasks))
		m.tasks, m.fetching = nil, ""
		m.session++
		m.answered = now
		m.changed()
	}
	if m.fetching != "" && !now.Before(m.fetchEnds) {
		m.images[m.fetching] = true
		m.fetching = ""
	}
	for _, t := range m.tasks {
		job, _, _ := strings.Cut(t.name, "/")
		spec := m.p.spec(job)
		switch t.status {
		case "pulling":
			switch {
			case m.images[spec.Kit]:
				t.status = "running"
				m.changed()
				if m.p.taskDone(t.name) {
					t.status, t.cause = "exited", "done"
					continue
				}
				t.ranFrom, t.ends = now, now.Add(m.p.runLeft(t.name))
				m.p.started(m, t)
			case m.fetching == "":
				m.fetching = spec.Kit
				m.fetchEnds = now.Add(time.Duration(spec.PullGb / m.hull.FetchGb * float64(time.Second)))
			}
		case "running":
			if spec.Shape == "batch" && !now.Before(t.ends) {
				m.p.left(m, t, "done")
				m.p.complete(t.name)
				t.status, t.cause = "exited", "done"
				m.changed()
			}
		case "flushing":
			if !now.Before(t.ends) {
				m.p.left(m, t, "stopped, saved")
				t.status, t.cause, t.saved = "exited", "stopped", true
				m.changed()
			}
		}
	}
}

type command struct {
	Verb  string  `json:"verb"`
	Shard string  `json:"shard"`
	Try   uint64  `json:"try"`
	Grace float64 `json:"windDownS"`
}

func (m *machine) execute(orders []command, how string) {
	now := time.Now()
	for _, o := range orders {
		m.p.rec.log("%s executes %s %s try %d (%s)", m.name, o.Verb, o.Shard, o.Try, how)
		index := -1
		for i, t := range m.tasks {
			if t.name == o.Shard && t.try == o.Try {
				index = i
			}
		}
		switch o.Verb {
		case "launch":
			if index < 0 {
				m.launch(o)
				m.changed()
			}
		case "kill":
			if index >= 0 {
				m.kill(m.tasks[index], o.Grace, now)
			}
		case "clear":
			if index >= 0 && m.tasks[index].status == "exited" {
				m.tasks = append(m.tasks[:index:index], m.tasks[index+1:]...)
				m.changed()
			}
		}
	}
}

func (m *machine) launch(o command) {
	t := &task{name: o.Shard, try: o.Try, status: "pulling"}
	job, _, _ := strings.Cut(o.Shard, "/")
	spec := m.p.spec(job)
	cpus, ram := m.hull.CPUs, m.hull.RAMGb
	busy := false
	for _, other := range m.tasks {
		if other.status == "exited" {
			continue
		}
		otherJob, _, _ := strings.Cut(other.name, "/")
		cpus -= m.p.spec(otherJob).CPUs
		ram -= m.p.spec(otherJob).RAMGb
		busy = busy || other.name == o.Shard
	}
	switch {
	case spec.ID == "":
		t.status, t.cause = "exited", "unknown"
	case busy:
		t.status, t.cause = "exited", "in_use"
	case spec.CPUs > cpus+1e-6 || spec.RAMGb > ram+1e-6:
		t.status, t.cause = "exited", "no_room"
	}
	m.tasks = append(m.tasks, t)
}

func (m *machine) kill(t *task, grace float64, now time.Time) {
	job, _, _ := strings.Cut(t.name, "/")
	spec := m.p.spec(job)
	switch {
	case t.status == "exited", t.status == "flushing" && grace > 0:
	case t.status == "running" && spec.MarkEveryS > 0 && grace > 0 && grace >= spec.MarkCostS:
		m.p.save(t.name, now.Sub(t.ranFrom))
		t.status, t.ends = "flushing", now.Add(time.Duration(spec.MarkCostS*float64(time.Second)))
		m.changed()
	default:
		if t.status != "pulling" {
			m.p.left(m, t, "stopped")
		}
		t.status, t.cause = "exited", "stopped"
		m.changed()
	}
}

// body returns the next report.
func (m *machine) body() []byte {
	m.tally++
	shards := []object{}
	for _, t := range m.tasks {
		row := object{"shard": t.name, "try": t.try, "status": t.status}
		if t.status == "exited" {
			row["cause"] = t.cause
			if t.saved {
				row["saved"] = true
			}
		}
		shards = append(shards, row)
	}
	raw, _ := json.Marshal(object{"host": m.name, "addr": m.addr, "hull": m.hull.Label, "berth": m.berth, "loaners": m.loaner,
		"watch": m.session, "tally": m.tally, "helm": m.helm, "recallS": nil, "shards": shards})
	return raw
}

// raise notes a token that the worker has seen.
func (m *machine) raise(helm uint64) {
	if helm > m.helm {
		m.helm = helm
		if now := time.Now(); now.Sub(m.helmEarly) > m.p.lease/2 {
			m.helmEarly = now
			m.changed()
		}
	}
}

func (m *machine) commands(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Helm   *uint64   `json:"helm"`
		Watch  *uint64   `json:"watch"`
		Orders []command `json:"orders"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Helm == nil || body.Watch == nil {
		reply(w, 400, object{"error": "helm or watch is missing"})
		return
	}
	m.mu.Lock()
	status := 200
	if m.over {
		m.mu.Unlock()
		return
	}
	if *body.Helm < m.helm || *body.Watch != m.session {
		status = 409
	} else {
		m.raise(*body.Helm)
		m.execute(body.Orders, "direct")
	}
	raw := m.body()
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (m *machine) status(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	raw := m.body()
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// report sends reports until the machine ends.
func (m *machine) report() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for {
		pause := m.reportOnce(client)
		deadline := time.Now().Add(pause)
		select {
		case <-m.ended:
			return
		case <-time.After(min(pause, 500*time.Millisecond)): // never more often than every half second
		}
		if left := time.Until(deadline); left > 0 {
			select {
			case <-m.ended:
				return
			case <-m.wake:
			case <-time.After(left):
			}
		}
	}
}

// reportOnce sends one report and returns the time to the next one.
func (m *machine) reportOnce(client *http.Client) time.Duration {
	m.mu.Lock()
	select {
	case <-m.wake:
	default:
	}
	raw, node, session, sent := m.body(), m.node, m.session, time.Now()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.p.nodes[node].public+"/agent/beat", bytes.NewReader(raw))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	var body struct {
		Helm   *uint64   `json:"helm"`
		Orders []command `json:"orders"`
		Master string    `json:"master"`
	}
	status := 0
	if err == nil {
		status = response.StatusCode
		if json.NewDecoder(response.Body).Decode(&body) != nil {
			status = 0
		}
		_ = response.Body.Close()
	}
	if time.Since(sent) > 4*time.Second {
		status = 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next := time.Duration(m.p.reportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
	switch {
	case status == 200:
		if session == m.session && body.Helm != nil && *body.Helm >= m.helm && !m.over {
			m.answered = sent
			m.raise(*body.Helm)
			m.execute(body.Orders, "answer of "+m.p.nodes[node].name)
		}
		return next
	case status == 421 && body.Master != "" && body.Master != m.p.nodes[node].name && m.p.nodeIndex(body.Master) >= 0:
		m.node = m.p.nodeIndex(body.Master)
		return 100 * time.Millisecond
	}
	m.node = (m.node + 1) % len(m.p.nodes)
	return time.Second
}
