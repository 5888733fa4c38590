//go:build review

package main

import (
	"encoding/json"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file is the state service of PROTOCOL, "Controller nodes -> state service".

const keptChanges = 10_000

type stateLimits struct {
	rps, writeRPS   float64
	valueKB, txnOps int
}

type bucket struct {
	rate, level float64
	at          time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.rate, b.level+b.rate*now.Sub(b.at).Seconds()) // bursts of one second's worth
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

type stored struct {
	data   json.RawMessage
	stamp  uint64
	tenure uint64
}

type change struct {
	Set    string          `json:"set,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
	Drop   string          `json:"drop,omitempty"`
	Stamp  uint64          `json:"stamp,omitempty"`
	Tenure uint64          `json:"tenure,omitempty"`
}

type condition struct {
	Path  string `json:"path"`
	Stamp uint64 `json:"stamp"`
}

type txn struct {
	When  []condition `json:"when"`
	Apply []change    `json:"apply"`
}

type hold struct {
	ttl     time.Duration
	expires time.Time
}

type stateService struct {
	mu       sync.Mutex
	rec      *record
	limits   stateLimits
	requests bucket
	writes   bucket
	keys     map[string]stored
	rev      uint64
	log      []change
	floor    uint64
	changed  chan struct{}
	holds    map[uint64]*hold
	lastHold uint64
	down     bool
	refused  map[string]int // refusals by reason, for the record
	slow     float64        // share of the responses that take slowFor
	slowFor  time.Duration
}

// setSlow sets the share of the responses that take so long, counted from the moment at which the request is
// carried out.
func (s *stateService) setSlow(share float64, slowFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow, s.slowFor = share, slowFor
}

// slowAnswer returns by how much the next response is delayed.
func (s *stateService) slowAnswer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rand.Float64() < s.slow {
		return s.slowFor
	}
	return 0
}

func newState(rec *record, limits stateLimits) *stateService {
	s := &stateService{rec: rec, keys: map[string]stored{}, changed: make(chan struct{}), holds: map[uint64]*hold{}, refused: map[string]int{}}
	s.setLimits(limits)
	return s
}

func (s *stateService) setLimits(limits stateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.requests = bucket{limits.rps, limits.rps, time.Now()}
	s.writes = bucket{limits.writeRPS, limits.writeRPS, time.Now()}
}

// setDown begins or ends an outage. After it every lease has its full time again.
func (s *stateService) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, h := range s.holds {
			h.expires = time.Now().Add(h.ttl)
		}
	}
	s.down = down
}

func (s *stateService) event(c change) {
	s.log = append(s.log, c)
	if len(s.log) > 2*keptChanges {
		s.floor = s.log[len(s.log)-keptChanges-1].Stamp
		s.log = append([]change(nil), s.log[len(s.log)-keptChanges:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) expire() {
	if s.down {
		return
	}
	for id, h := range s.holds {
		if time.Now().After(h.expires) {
			s.endHold(id)
		}
	}
}

func (s *stateService) endHold(id uint64) {
	delete(s.holds, id)
	var keys []string
	for key, value := range s.keys {
		if value.tenure == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.rev++
	for _, key := range keys {
		delete(s.keys, key)
		s.event(change{Drop: key, Stamp: s.rev})
	}
}

// serve answers the controllers' requests until the process ends.
func (s *stateService) serve(listener net.Listener) {
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	_ = (&http.Server{Handler: http.HandlerFunc(s.handle)}).Serve(listener)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

type object = map[string]any

// handle carries a request out, and then sends the response, mostly at once.
func (s *stateService) handle(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	answer := httptest.NewRecorder()
	s.carryOut(answer, r)
	time.Sleep(s.slowAnswer())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

func (s *stateService) carryOut(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.down && r.URL.Path != "/follow" {
		s.mu.Unlock()
		reply(w, 503, object{"error": "outage"})
		return
	}
	if !s.requests.take(1) {
		s.refused["429 requests"]++
		s.mu.Unlock()
		reply(w, 429, object{"error": "over the rate"})
		return
	}
	s.expire()
	s.mu.Unlock()
	path := r.URL.Path
	switch {
	case path == "/txn":
		s.transaction(w, r)
	case path == "/store":
		s.list(w, r)
	case strings.HasPrefix(path, "/store/"):
		s.read(w, strings.TrimPrefix(path, "/store/"))
	case path == "/follow":
		s.follow(w, r)
	case path == "/holds":
		s.grant(w, r)
	case strings.HasPrefix(path, "/holds/"):
		s.holdRequest(w, r, strings.TrimPrefix(path, "/holds/"))
	default:
		reply(w, 404, nil)
	}
}

func (s *stateService) transaction(w http.ResponseWriter, r *http.Request) {
	raw := make([]byte, 0, 4096)
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buffer)
		raw = append(raw, buffer[:n]...)
		if err != nil || len(raw) > 1<<20 {
			break
		}
	}
	var t txn
	if json.Unmarshal(raw, &t) != nil {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		reply(w, 503, object{"error": "outage"})
		return
	}
	tooLarge := ""
	switch {
	case len(raw) > 64<<10:
		tooLarge = "over 64 KiB"
	case len(t.Apply) > s.limits.txnOps:
		tooLarge = "too many changes: " + strconv.Itoa(len(t.Apply))
	case len(t.When) > 4*s.limits.txnOps:
		tooLarge = "too many conditions: " + strconv.Itoa(len(t.When)) + " of " + strconv.Itoa(4*s.limits.txnOps)
	}
	for _, c := range t.Apply {
		if len(c.Data) > s.limits.valueKB<<10 {
			tooLarge = "value of " + c.Set + " has " + strconv.Itoa(len(c.Data)) + " bytes"
		}
	}
	if tooLarge != "" {
		s.refused["400 "+tooLarge]++
		if n := s.refused["400 "+tooLarge]; n <= 3 || n%50 == 0 {
			s.rec.log("state service: transaction refused with 400, %s (%d changes, time %d)", tooLarge, len(t.Apply), n)
		}
		reply(w, 400, object{"error": tooLarge})
		return
	}
	if len(t.Apply) > 0 && !s.writes.take(float64(len(t.Apply))) {
		s.refused["429 changes"]++
		reply(w, 429, object{"error": "over the rate of changes"})
		return
	}
	for _, c := range t.Apply {
		if c.Set != "" && c.Tenure != 0 && s.holds[c.Tenure] == nil {
			reply(w, 400, object{"error": "no such lease"})
			return
		}
	}
	var failed []string
	for _, c := range t.When {
		if s.keys[c.Path].stamp != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, object{"failed": failed, "ledgerRev": s.rev})
		return
	}
	if len(t.Apply) > 0 {
		s.rev++
	}
	for _, c := range t.Apply {
		if c.Drop != "" {
			if _, ok := s.keys[c.Drop]; ok {
				delete(s.keys, c.Drop)
				s.event(change{Drop: c.Drop, Stamp: s.rev})
			}
			continue
		}
		s.keys[c.Set] = stored{c.Data, s.rev, c.Tenure}
		s.event(change{Set: c.Set, Data: c.Data, Stamp: s.rev})
	}
	reply(w, 200, object{"ledgerRev": s.rev})
}

func (s *stateService) read(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.keys[key]
	if !ok {
		reply(w, 404, object{"ledgerRev": s.rev})
		return
	}
	body := object{"path": key, "data": value.data, "stamp": value.stamp}
	if value.tenure != 0 {
		body["tenure"] = value.tenure
	}
	reply(w, 200, body)
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 {
		limit = 200
	}
	limit = min(limit, 1000)
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size, more := []object{}, 0, false
	for _, key := range keys {
		value := s.keys[key]
		if size += len(key) + len(value.data) + 60; len(rows) == limit || size > 512<<10 {
			more = true
			break
		}
		rows = append(rows, object{"path": key, "data": value.data, "stamp": value.stamp})
	}
	reply(w, 200, object{"rows": rows, "more": more, "ledgerRev": s.rev})
}

func (s *stateService) follow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	block, _ := strconv.Atoi(query.Get("blockMs"))
	deadline := time.Now().Add(time.Duration(min(block, 60_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if from < s.floor {
			s.mu.Unlock()
			reply(w, 410, object{"error": "from is too old"})
			return
		}
		news := []change{}
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > from })
		for _, c := range s.log[first:] {
			if strings.HasPrefix(c.Set+c.Drop, query.Get("starts")) {
				news = append(news, c)
			}
		}
		rev, changed, down := s.rev, s.changed, s.down
		s.mu.Unlock()
		left := time.Until(deadline)
		if !down && (len(news) > 0 || left <= 0) {
			reply(w, 200, object{"ledgerRev": rev, "news": news})
			return
		}
		if down {
			left = 50 * time.Millisecond // open watches remain open through an outage
		}
		select {
		case <-changed:
		case <-time.After(max(left, time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *stateService) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 100 || body.TTL > 600_000 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHold++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.holds[s.lastHold] = &hold{ttl, time.Now().Add(ttl)}
	reply(w, 200, object{"tenure": s.lastHold})
}

func (s *stateService) holdRequest(w http.ResponseWriter, r *http.Request, rest string) {
	name, _, _ := strings.Cut(rest, "/")
	id, _ := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holds[id]
	if h == nil {
		reply(w, 404, object{"error": "no such lease"})
		return
	}
	if r.Method == http.MethodDelete {
		s.endHold(id)
	} else {
		h.expires = time.Now().Add(h.ttl)
	}
	reply(w, 200, object{"tenure": id})
}

// value returns the data of a key, nil if there is none.
func (s *stateService) value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].data
}

// refusals returns how many transactions were refused with 400.
func (s *stateService) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for reason, count := range s.refused {
		if strings.HasPrefix(reason, "400") {
			n += count
		}
	}
	return n
}
