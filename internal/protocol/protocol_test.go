package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
)

const goodJob = `{"id":"job-000412","jobclass":"train","crew":"vision","shape":"batch","urgency":"high","shards":16,
 "cpus":8.0,"accelerators":1.0,"ramGb":64.0,"kit":"img-07","pullGb":6.2,"hulls":["g8"],"berth":null,"together":true,
 "scatter":false,"loaners":true,"expectedS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0,"extra":{"x":1}}`

func TestParseSubmission(t *testing.T) {
	cases := []struct {
		name, field, value string // the field is replaced; value "-" leaves it out
		want               string // part of the error; "" for none
	}{
		{"as documented", "", "", ""},
		{"nullable left out", "berth", "-", ""},
		{"no deadline", "dueS", "null", ""},
		{"any type", "hulls", "null", ""},
		{"missing id", "id", "-", "id is missing"},
		{"id not in form", "id", `"job-12x456"`, "id is not"},
		{"id with a path", "id", `"job-000001/../x"`, "id is not"},
		{"id of the wrong type", "id", `7`, "id has the wrong type"},
		{"null where not allowed", "kit", `null`, "kit is missing"},
		{"unlisted shape", "shape", `"ring"`, "shape"},
		{"unlisted urgency", "urgency", `"asap"`, "urgency"},
		{"no tasks", "shards", `0`, "shards"},
		{"too many tasks", "shards", `100001`, "shards"},
		{"half a task", "shards", `1.5`, "shards has the wrong type"},
		{"negative cpus", "cpus", `-1`, "cpus"},
		{"no cpus", "cpus", `0`, "cpus"},
		{"cpus as text", "cpus", `"8"`, "cpus has the wrong type"},
		{"number beyond range", "ramGb", `1e999`, "ramGb has the wrong type"},
		{"negative estimate", "expectedS", `-3`, "expectedS"},
		{"deadline of zero", "dueS", `0`, "dueS"},
		{"flag as number", "loaners", `1`, "loaners has the wrong type"},
		{"types not a list", "hulls", `"g8"`, "hulls has the wrong type"},
		{"empty list of types", "hulls", `[]`, "hulls"},
		{"empty zone", "berth", `""`, "berth"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var m map[string]json.RawMessage
			if err := json.Unmarshal([]byte(goodJob), &m); err != nil {
				t.Fatal(err)
			}
			if c.value == "-" {
				delete(m, c.field)
			} else if c.field != "" {
				m[c.field] = json.RawMessage(c.value)
			}
			var parts []string
			for k, v := range m {
				parts = append(parts, `"`+k+`":`+string(v))
			}
			check(t, []byte("{"+strings.Join(parts, ",")+"}"), c.want)
		})
	}
	for _, c := range [][2]string{{"", "not a JSON object"}, {"[1]", "not a JSON object"}, {"{", "not valid JSON"},
		{`{"cpus":NaN}`, "not valid JSON"}, {"{" + strings.Repeat(" ", MaxBody) + "}", "64 KiB"}} {
		check(t, []byte(c[0]), c[1])
	}
}

func check(t *testing.T, body []byte, want string) {
	t.Helper()
	s, err := ParseSubmission(body)
	switch {
	case want == "" && err != nil:
		t.Fatalf("refused: %v", err)
	case want == "" && (s.Tasks != 16 || s.Priority != High || !s.OneZone):
		t.Fatalf("read wrongly: %+v", s)
	case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
		t.Fatalf("got %v, want %q", err, want)
	}
}

func TestParseReport(t *testing.T) {
	for _, c := range []struct {
		name, body string
		ok         bool
	}{
		{"full", `{"host":"host-000231","addr":"10.1.0.232:9000","hull":"g8","berth":"a","loaners":true,"watch":1,"tally":88,
			"helm":41,"recallS":null,"shards":[{"shard":"job-000412/3","try":2,"status":"running"}]}`, true},
		{"no session", `{"host":"h","hull":"g8","berth":"a","tally":1}`, false},
		{"negative token", `{"host":"h","hull":"g8","berth":"a","watch":1,"tally":1,"helm":-4}`, false},
		{"bad task", `{"host":"h","hull":"g8","berth":"a","watch":1,"tally":1,"shards":[{"shard":"job-000412/x","try":2,"status":"running"}]}`, false},
		{"bad state", `{"host":"h","hull":"g8","berth":"a","watch":1,"tally":1,"shards":[{"shard":"job-000412/1","try":2,"status":"asleep"}]}`, false},
		{"name with a slash", `{"host":"a/b","hull":"g8","berth":"a","watch":1,"tally":1}`, false},
		{"not an object", `"hello"`, false},
	} {
		if _, err := ParseHeartbeat([]byte(c.body)); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestFrames(t *testing.T) {
	var all []byte
	messages := []PeerMessage{Hello{"n-1", 77}, PeerHeartbeat{true, 1 << 40, 5, 12500},
		ShardDemands{[]ShardDemand{{2, true, 40.5}, {0, false, 1}}}, ShardDemands{}, CancellationDigest{At: 1 << 41, ProcessStart: 5, From: 7, Cancellations: []Cancellation{{8, "job-000001"}}}, CancellationDigest{}}
	for _, m := range messages {
		var err error
		if all, err = AppendFrame(all, m); err != nil {
			t.Fatal(err)
		}
	}
	reader := bytes.NewReader(all)
	for _, want := range messages {
		if got, err := ReadFrame(reader); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %#v, %v; want %#v", got, err, want)
		}
	}
	for _, c := range []struct {
		name string
		raw  []byte
	}{
		{"an HTTP request", []byte("GET /admin HTTP/1.1\r\n\r\n")},
		{"another version", []byte{FrameMagic, 9, KindPeerHeartbeat, 0, 0, 0, 0}},
		{"too long", []byte{FrameMagic, FrameVersion, KindPeerHeartbeat, 0xff, 0, 0, 0}},
		{"unknown kind", []byte{FrameMagic, FrameVersion, 99, 0, 0, 0, 0}},
		{"short payload", []byte{FrameMagic, FrameVersion, KindPeerHeartbeat, 0, 0, 0, 1, 1}},
		{"trailing bytes", append([]byte{FrameMagic, FrameVersion, KindPeerHeartbeat, 0, 0, 0, 18}, make([]byte, 18)...)},
		{"a word that is cut short", []byte{FrameMagic, FrameVersion, KindCancellationDigest, 0, 0, 0, 3, 0, 0, 0}},
		{"a word of before its process", append([]byte{FrameMagic, FrameVersion, KindCancellationDigest, 0, 0, 0, 25}, append(make([]byte, 15), 1, 0, 0, 0, 0, 0, 0, 0, 0, 0)...)},
		{"a word with too many", append([]byte{FrameMagic, FrameVersion, KindCancellationDigest, 0, 0, 0, 25}, append(make([]byte, 24), MaxCancellations+1)...)},
		{"nameless", []byte{FrameMagic, FrameVersion, KindHello, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0}},
	} {
		if _, err := ReadFrame(bytes.NewReader(c.raw)); !errors.Is(err, ErrFrame) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func FuzzReadFrame(f *testing.F) {
	for _, m := range []PeerMessage{Hello{"n", 1}, PeerHeartbeat{true, 2, 3, 4}, ShardDemands{[]ShardDemand{{1, true, 2}}}, CancellationDigest{3, 2, 1, []Cancellation{{4, "j"}}}} {
		b, _ := AppendFrame(nil, m)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := ReadFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		b, err := AppendFrame(nil, m)
		if err != nil || !bytes.Equal(b, raw[:len(b)]) {
			t.Fatalf("%#v is written differently: %v", m, err)
		}
	})
}
