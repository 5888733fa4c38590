package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
)

const validJob = `{"id":"job-000412","jobclass":"train","crew":"vision","shape":"batch","urgency":"high","shards":16,
 "cpus":8.0,"accelerators":1.0,"ramGb":64.0,"kit":"img-07","pullGb":6.2,"hulls":["g8"],"berth":null,"together":true,
 "scatter":false,"loaners":true,"expectedS":240.0,"markEveryS":30.0,"markCostS":4.0,"dueS":900.0,"extra":{"x":1}}`

func TestParseSubmission(t *testing.T) {
	cases := []struct {
		name, field, value string // the field is replaced; value "-" leaves it out
		want               string // part of the error message; "": no error
	}{
		{"valid submission", "", "", ""},
		{"missing nullable field", "berth", "-", ""},
		{"no deadline", "dueS", "null", ""},
		{"any type", "hulls", "null", ""},
		{"missing id", "id", "-", "id is missing"},
		{"malformed id", "id", `"job-12x456"`, "id is not"},
		{"id with path elements", "id", `"job-000001/../x"`, "id is not"},
		{"id of the wrong type", "id", `7`, "id has the wrong type"},
		{"null where not allowed", "kit", `null`, "kit is missing"},
		{"reserved id", "id", `"job-000000000000000000"`, "field id is reserved"},
		{"unknown shape", "shape", `"ring"`, "shape"},
		{"unknown priority", "urgency", `"asap"`, "urgency"},
		{"no tasks", "shards", `0`, "shards"},
		{"too many tasks", "shards", `100001`, "shards"},
		{"fractional number of tasks", "shards", `1.5`, "shards has the wrong type"},
		{"negative cpus", "cpus", `-1`, "cpus"},
		{"zero cpus", "cpus", `0`, "cpus"},
		{"cpus as text", "cpus", `"8"`, "cpus has the wrong type"},
		{"number out of range", "ramGb", `1e999`, "ramGb has the wrong type"},
		{"negative estimate", "expectedS", `-3`, "expectedS"},
		{"deadline of zero", "dueS", `0`, "dueS"},
		{"flag as number", "loaners", `1`, "loaners has the wrong type"},
		{"types are not a list", "hulls", `"g8"`, "hulls has the wrong type"},
		{"empty list of types", "hulls", `[]`, "hulls"},
		{"empty zone", "berth", `""`, "berth"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			checkSubmission(t, changedJob(t, test.field, test.value), test.want)
		})
	}
	for _, test := range []struct{ name, body, want string }{
		{"empty body", "", "not a JSON object"},
		{"array", "[1]", "not a JSON object"},
		{"truncated object", "{", "not valid JSON"},
		{"value that is not valid in JSON", `{"cpus":NaN}`, "not valid JSON"},
		{"body too large", "{" + strings.Repeat(" ", MaxBodyBytes) + "}", "64 KiB"},
	} {
		t.Run(test.name, func(t *testing.T) { checkSubmission(t, []byte(test.body), test.want) })
	}
}

// changedJob returns validJob with another value of a field, or without the field if the value is "-".
func changedJob(t *testing.T, field, value string) []byte {
	t.Helper()
	var values map[string]json.RawMessage
	if err := json.Unmarshal([]byte(validJob), &values); err != nil {
		t.Fatal(err)
	}
	if value == "-" {
		delete(values, field)
	} else if field != "" {
		values[field] = json.RawMessage(value)
	}
	var parts []string
	for name, value := range values {
		parts = append(parts, `"`+name+`":`+string(value))
	}
	return []byte("{" + strings.Join(parts, ",") + "}")
}

// checkSubmission parses a submission and checks for the values of validJob, or for an error message
// that contains want.
func checkSubmission(t *testing.T, body []byte, want string) {
	t.Helper()
	submission, err := ParseSubmission(body)
	switch {
	case want == "" && err != nil:
		t.Fatalf("valid submission rejected: %v", err)
	case want == "" && (submission.Tasks != 16 || submission.Priority != High || !submission.OneZone):
		t.Fatalf("decoded wrongly: %+v", submission)
	case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
		t.Fatalf("got %v, want %q", err, want)
	}
}

// TestSubmissionRefusals checks the complete error messages for users, and the field that each error
// names.
func TestSubmissionRefusals(t *testing.T) {
	for _, test := range []struct{ name, field, value, want string }{
		{"missing field", "crew", "-", "field crew is missing"},
		{"field of another type", "together", `"yes"`, "field together has the wrong type"},
		{"malformed id", "id", `"job-1"`, "field id is not in the form job-000412"},
		{"unknown shape", "shape", `"ring"`, "field shape is not batch or daemon"},
		{"unknown priority", "urgency", `"asap"`, "field urgency is not production, high, normal or low"},
		{"no tasks", "shards", `0`, "field shards is not between 1 and 100000"},
		{"empty team", "crew", `""`, "field crew is not a name of 1 to 128 bytes"},
		{"long image", "kit", `"` + strings.Repeat("k", 129) + `"`, "field kit is not a name of 1 to 128 bytes"},
		{"no cores", "cpus", `0`, "field cpus is not above 0"},
		{"too much memory", "ramGb", `1000000001`, "field ramGb is out of range"},
		{"deadline of zero", "dueS", `0`, "field dueS is out of range"},
		{"empty zone", "berth", `""`, "field berth is not a zone's name"},
		{"malformed dependency", "awaits", `["job-000001","x"]`, "field awaits holds something that is no job's id"},
		{"empty list of types", "hulls", `[]`, "field hulls is an empty list"},
		{"empty type", "hulls", `["g8",""]`, "field hulls holds something that is no name"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseSubmission(changedJob(t, test.field, test.value))
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != test.field || err.Error() != test.want {
				t.Errorf("got %#v, want %q", err, test.want)
			}
		})
	}
}

func TestParseHeartbeat(t *testing.T) {
	for _, test := range []struct {
		name, body string
		ok         bool
	}{
		{"full", `{"host":"host-000231","addr":"10.1.0.232:9000","hull":"g8","berth":"a","loaners":true,"watch":1,"tally":88,
			"helm":41,"recallS":null,"shards":[{"shard":"job-000412/3","try":2,"status":"running"}]}`, true},
		{"missing incarnation", `{"host":"h","hull":"g8","berth":"a","tally":1}`, false},
		{"negative fencing token", `{"host":"h","hull":"g8","berth":"a","watch":1,"tally":1,"helm":-4}`, false},
		{"malformed task name", `{"host":"h","hull":"g8","berth":"a","watch":1,"tally":1,"shards":[{"shard":"job-000412/x","try":2,"status":"running"}]}`, false},
		{"unknown task state", `{"host":"h","hull":"g8","berth":"a","watch":1,"tally":1,"shards":[{"shard":"job-000412/1","try":2,"status":"asleep"}]}`, false},
		{"renewal marker", `{"host":"h","hull":"g8","berth":"a","watch":1,"tally":1,
			"shards":[{"shard":"job-000000000000000000/99999","try":1796372544958,"status":"exited","cause":"unknown"}]}`, true},
		{"machine name with a slash", `{"host":"a/b","hull":"g8","berth":"a","watch":1,"tally":1}`, false},
		{"not an object", `"hello"`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := ParseHeartbeat([]byte(test.body)); (err == nil) != test.ok {
				t.Errorf("accepted: %t, want %t: %v", err == nil, test.ok, err)
			}
		})
	}
}

// TestHeartbeatRefusals checks the complete error messages for workers.
func TestHeartbeatRefusals(t *testing.T) {
	const rest = `"hull":"g8","berth":"a","watch":1,"tally":1`
	for _, test := range []struct{ name, body, want string }{
		{"array", `[]`, "report is not a JSON object"},
		{"missing machine", `{` + rest + `}`, "report: host is not a name"},
		{"missing sequence number", `{"host":"h","hull":"g8","berth":"a","watch":1}`, "report: watch or tally is missing"},
		{"missing zone", `{"host":"h","hull":"g8","watch":1,"tally":1}`, "report: hull or berth is missing"},
		{"preemption notice out of range", `{"host":"h","recallS":2e9,` + rest + `}`, "report: recallS is out of range"},
		{"preemption notice that has passed", `{"host":"h","recallS":-3,` + rest + `}`, ""},
		{"malformed task name", `{"host":"h","shards":[{"shard":"job-000412"}],` + rest + `}`, `report: "job-000412" is no task`},
		{"unknown task state", `{"host":"h","shards":[{"shard":"job-000412/1","status":"asleep"}],` + rest + `}`, `report: "asleep" is no state of a task`},
		{"task of a gang that waits for others", `{"host":"h","shards":[{"shard":"job-000412/1","status":"gathering"}],` + rest + `}`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseHeartbeat([]byte(test.body))
			text := ""
			if err != nil {
				text = err.Error()
			}
			if text != test.want {
				t.Errorf("got %q, want %q", text, test.want)
			}
		})
	}
}

func TestFrames(t *testing.T) {
	var all []byte
	messages := []PeerMessage{Hello{"n-1", 77}, PeerHeartbeat{true, 1 << 40, 5, 12500},
		ShardDemands{[]ShardDemand{{2, true, 40.5}, {0, false, 1}}}, ShardDemands{},
		CancellationDigest{CreatedAtMs: 1 << 41, ProcessStartMs: 5, AfterVersion: 7, Cancellations: []Cancellation{{8, "job-000001"}}}, CancellationDigest{}}
	for _, message := range messages {
		var err error
		if all, err = AppendFrame(all, message); err != nil {
			t.Fatal(err)
		}
	}
	reader := bytes.NewReader(all)
	for _, want := range messages {
		if got, err := ReadFrame(reader); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %#v, %v; want %#v", got, err, want)
		}
	}
	for _, test := range []struct {
		name string
		raw  []byte
	}{
		{"HTTP request", []byte("GET /admin HTTP/1.1\r\n\r\n")},
		{"unknown version", []byte{FrameMagic, 9, KindPeerHeartbeat, 0, 0, 0, 0}},
		{"payload too long", []byte{FrameMagic, FrameVersion, KindPeerHeartbeat, 0xff, 0, 0, 0}},
		{"unknown message kind", []byte{FrameMagic, FrameVersion, 99, 0, 0, 0, 0}},
		{"short payload", []byte{FrameMagic, FrameVersion, KindPeerHeartbeat, 0, 0, 0, 1, 1}},
		{"trailing bytes", append([]byte{FrameMagic, FrameVersion, KindPeerHeartbeat, 0, 0, 0, 18}, make([]byte, 18)...)},
		{"truncated digest", []byte{FrameMagic, FrameVersion, KindCancellationDigest, 0, 0, 0, 3, 0, 0, 0}},
		{"digest older than its process", append([]byte{FrameMagic, FrameVersion, KindCancellationDigest, 0, 0, 0, 25}, append(make([]byte, 15), 1, 0, 0, 0, 0, 0, 0, 0, 0, 0)...)},
		{"digest with too many cancellations", append([]byte{FrameMagic, FrameVersion, KindCancellationDigest, 0, 0, 0, 25}, append(make([]byte, 24), MaxCancellations+1)...)},
		{"hello without a name", []byte{FrameMagic, FrameVersion, KindHello, 0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := ReadFrame(bytes.NewReader(test.raw)); !errors.Is(err, ErrMalformedFrame) {
				t.Errorf("got %v, want a malformed frame", err)
			}
		})
	}
}

func FuzzReadFrame(f *testing.F) {
	for _, message := range []PeerMessage{Hello{"n", 1}, PeerHeartbeat{true, 2, 3, 4}, ShardDemands{[]ShardDemand{{1, true, 2}}},
		CancellationDigest{3, 2, 1, []Cancellation{{4, "j"}}}} {
		frame, err := AppendFrame(nil, message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		message, err := ReadFrame(bytes.NewReader(raw))
		if err != nil {
			return
		}
		frame, err := AppendFrame(nil, message)
		if err != nil || !bytes.Equal(frame, raw[:len(frame)]) {
			t.Fatalf("%#v is encoded differently from the input: %v", message, err)
		}
	})
}
