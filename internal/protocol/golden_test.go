package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"dykeledge/internal/golden"
)

// The golden files hold the messages of released versions. The name of a message's file names the other
// side, that of a frame's file the lowest frame level at which a controller reads it. If a test fails,
// the messages are no longer compatible with other versions of the controller or with other services.

// TestGoldenFrames compares the frames between controllers with golden files.
func TestGoldenFrames(t *testing.T) {
	cases := []struct {
		file    string
		message PeerMessage
	}{
		{"hello.level0.bin", Hello{"node-a", 0x0102030405060708}},
		{"pulse.level0.bin", PeerHeartbeat{true, 0x1112131415161718, 0x8000000000000001, 0x21222324}},
		{"pulse-without-state.level0.bin", PeerHeartbeat{false, 0, 0, 0}},
		{"need.level0.bin", ShardDemands{[]ShardDemand{{5, true, 12.5}, {0x01020304, false, 0}}}},
		{"need-none.level0.bin", ShardDemands{}},
		{"word.level1.bin", CancellationDigest{1700000000456, 1700000000123, 77, []Cancellation{{78, "job-000412"}, {0x0102030405060708, "job-000413"}}}},
		{"word-none.level1.bin", CancellationDigest{1700000000456, 1700000000123, 77, nil}},
	}
	for _, test := range cases {
		t.Run(test.file, func(t *testing.T) {
			frame, err := AppendFrame(nil, test.message)
			if err != nil {
				t.Fatal(err)
			}
			golden.CheckBytes(t, test.file, frame)
			rest := bytes.NewReader(golden.Read(t, test.file))
			message, err := ReadFrame(rest)
			if err != nil || rest.Len() > 0 || !reflect.DeepEqual(message, test.message) {
				t.Errorf("decoded to %+v with %d bytes left: %v", message, rest.Len(), err)
			}
		})
	}
}

// rewrite decodes a message and encodes it again.
type rewrite func(raw []byte) ([]byte, error)

func rewriteJSON[T any](raw []byte) ([]byte, error) {
	var message T
	if err := json.Unmarshal(raw, &message); err != nil {
		return nil, err
	}
	return json.Marshal(message)
}

func rewriteSubmission(raw []byte) ([]byte, error) {
	submission, err := ParseSubmission(raw)
	if err != nil {
		return nil, err
	}
	return EncodeSubmission(submission)
}

func rewriteHeartbeat(raw []byte) ([]byte, error) {
	heartbeat, err := ParseHeartbeat(raw)
	if err != nil {
		return nil, err
	}
	return json.Marshal(heartbeat)
}

// TestGoldenMessages compares the JSON messages that a controller exchanges with users, workers, the
// cloud and the state service with golden files.
func TestGoldenMessages(t *testing.T) {
	cases := []struct {
		file    string
		rewrite rewrite
		typ     reflect.Type // type of which the file must contain every field; nil: not checked
	}{
		{"submission.user.json", rewriteSubmission, nil},
		{"submission-least.user.json", rewriteSubmission, nil},
		{"job-state.user.json", rewriteJSON[JobState], reflect.TypeFor[JobState]()},
		{"refusal.user.json", rewriteJSON[ErrorResponse], reflect.TypeFor[ErrorResponse]()},
		{"report.worker.json", rewriteHeartbeat, reflect.TypeFor[Heartbeat]()},
		{"report-least.worker.json", rewriteHeartbeat, nil},
		{"report-answer.worker.json", rewriteJSON[HeartbeatResponse], reflect.TypeFor[HeartbeatResponse]()},
		{"redirect.worker.json", rewriteJSON[Redirect], reflect.TypeFor[Redirect]()},
		{"direct-commands.worker.json", rewriteJSON[DirectCommands], reflect.TypeFor[DirectCommands]()},
		{"catalog.cloud.json", rewriteJSON[Catalog], reflect.TypeFor[Catalog]()},
		{"rental.cloud.json", rewriteJSON[ScaleOutRequest], reflect.TypeFor[ScaleOutRequest]()},
		{"machine-names.cloud.json", rewriteJSON[MachineNames], reflect.TypeFor[MachineNames]()},
		{"machine-list.cloud.json", rewriteJSON[MachineList], reflect.TypeFor[MachineList]()},
		{"page.state.json", rewriteJSON[Page], reflect.TypeFor[Page]()},
		{"transaction.state.json", rewriteJSON[Txn], reflect.TypeFor[Txn]()},
		{"transaction-result.state.json", rewriteJSON[TxnResult], reflect.TypeFor[TxnResult]()},
		{"events.state.json", rewriteJSON[Events], reflect.TypeFor[Events]()},
	}
	for _, test := range cases {
		t.Run(test.file, func(t *testing.T) {
			raw := golden.Read(t, test.file)
			got, err := test.rewrite(raw)
			if err != nil {
				t.Fatal(err)
			}
			golden.CheckBytes(t, test.file, got)
			if test.typ == nil {
				return
			}
			for _, field := range wireNames(test.typ) {
				if !bytes.Contains(raw, fmt.Appendf(nil, "%q:", field)) {
					t.Errorf("golden file lacks field %q", field)
				}
			}
		})
	}
}

// wireNames returns the JSON names of the fields of a type and of all types that it contains.
func wireNames(typ reflect.Type) (names []string) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice:
		return wireNames(typ.Elem())
	case reflect.Struct:
		for field := range typ.Fields() {
			if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
				names = append(names, name)
			}
			names = append(names, wireNames(field.Type)...)
		}
	}
	return names
}

// TestGoldenValues compares the names that messages contain as values with a golden file.
func TestGoldenValues(t *testing.T) {
	values := []string{
		string(Queued), string(Running), string(Done), string(Cancelled),
		TaskFetching, TaskRunning, TaskCheckpointing, TaskExited,
		CauseDone, CauseStopped, CauseError, CauseNoCapacity, CauseBusy, CauseUnknown,
		OpLaunch, OpKill, OpClear,
		Batch.String(), Service.String(),
		Low.String(), Normal.String(), High.String(), Production.String(),
		TaskName("job-000412", 15),
	}
	golden.CheckBytes(t, "words.any.txt", []byte(strings.Join(values, "\n")+"\n"))
}
