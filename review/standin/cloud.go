//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// This file is the cloud of PROTOCOL, "Controller nodes -> cloud".

type machineType struct {
	Label   string   `json:"label"`
	CPUs    float64  `json:"cpus"`
	GPUs    float64  `json:"accelerators"`
	RAMGb   float64  `json:"ramGb"`
	CacheGb float64  `json:"cacheGb"`
	FetchGb float64  `json:"fetchGbPerS"`
	Rate    float64  `json:"rate"`
	Market  float64  `json:"marketPrice"`
	BootS   float64  `json:"bootS"`
	Berths  []string `json:"berths"`
}

type cloud struct {
	mu       sync.Mutex
	p        *platform
	rec      *record
	rate     bucket
	types    []machineType
	capacity int // machines of all kinds together
	machines map[string]*machine
	charters map[string][]string
	count    int
	lag      time.Duration
}

func (c *cloud) serve(listener net.Listener) {
	_ = (&http.Server{Handler: http.HandlerFunc(c.handle)}).Serve(listener)
}

func (c *cloud) handle(w http.ResponseWriter, r *http.Request) {
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	allowed := c.rate.take(1)
	c.mu.Unlock()
	switch {
	case !allowed:
		reply(w, 429, object{"error": "over the rate"})
	case r.URL.Path == "/catalog":
		reply(w, 200, object{"hulls": c.types})
	case r.URL.Path == "/hosts" && r.Method == http.MethodPost:
		c.rent(w, r)
	case r.URL.Path == "/hosts":
		c.list(w, r)
	case r.URL.Path == "/hosts/return":
		c.giveBack(w, r)
	default:
		reply(w, 404, nil)
	}
}

// add creates a machine that is up after boot.
func (c *cloud) add(hull machineType, berth string, loaner bool, boot time.Duration) *machine {
	c.count++
	m := newMachine(c.p, fmt.Sprintf("host-%06d", c.count), hull, berth, loaner, boot)
	c.machines[m.name] = m
	return m
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Charter string `json:"charter"`
		Hull    string `json:"hull"`
		Berth   string `json:"berth"`
		Loaners bool   `json:"loaners"`
		Count   int    `json:"count"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Count < 1 || body.Count > 50 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names := c.charters[body.Charter]
	if names == nil {
		up := 0
		for _, m := range c.machines {
			if m.gone.IsZero() {
				up++
			}
		}
		for _, hull := range c.types {
			for i := 0; hull.Label == body.Hull && i < body.Count && up < c.capacity; i++ {
				boot := time.Duration((0.6 + 0.9*rand.Float64()) * hull.BootS * float64(time.Second))
				names = append(names, c.add(hull, body.Berth, body.Loaners, boot).name)
				up++
			}
		}
		if len(names) == 0 {
			reply(w, 503, object{"error": "no capacity"})
			return
		}
		c.charters[body.Charter] = names
		c.rec.log("cloud: rented %v for %s (%s, loaners %v)", names, body.Charter, body.Berth, body.Loaners)
	}
	reply(w, 200, object{"hosts": names})
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Hosts) > 100 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	for _, name := range body.Hosts {
		if m := c.machines[name]; m != nil && m.gone.IsZero() {
			m.gone = time.Now()
			m.end()
			c.rec.log("cloud: %s returned", name)
		}
	}
	c.mu.Unlock()
	reply(w, 200, object{})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit < 1 || limit > 500 {
		limit = 500
	}
	from := r.URL.Query().Get("from")
	at := time.Now().Add(-c.lag)
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, m := range c.machines {
		if name > from && m.rented.Before(at) && (m.gone.IsZero() || m.gone.After(at)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > limit
	names = names[:min(limit, len(names))]
	hosts := []object{}
	for _, name := range names {
		m := c.machines[name]
		status := "booting"
		if m.upAt.Before(at) {
			status = "running"
		}
		hosts = append(hosts, object{"id": name, "addr": m.addr, "hull": m.hull.Label, "berth": m.berth, "loaners": m.loaner,
			"status": status, "heldS": at.Sub(m.rented).Seconds()})
	}
	reply(w, 200, object{"hosts": hosts, "more": more})
}
