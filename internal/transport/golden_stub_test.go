package transport

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"dykeledge/internal/controller"
	"dykeledge/internal/protocol"
	"dykeledge/internal/view"
)

// filledValue returns a value with a non-zero value in each field. All calls return the same value.
func filledValue[T any]() T {
	var filled T
	count := 0
	fill(reflect.ValueOf(&filled).Elem(), &count)
	return filled
}

// fill sets a value and all values that it contains. Each gets a value that depends on count, the number
// of values set so far.
func fill(value reflect.Value, count *int) {
	*count++
	switch special := value.Addr().Interface().(type) {
	case *json.RawMessage:
		*special = fmt.Appendf(nil, `{"raw":%d}`, *count)
		return
	case *time.Time:
		*special = time.UnixMilli(int64(*count)).UTC()
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			fill(value.Field(i), count)
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), count)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), count)
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", *count))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(float64(*count) + 0.5)
	case reflect.Interface:
		value.Set(reflect.ValueOf(*count))
	default:
		value.Set(reflect.ValueOf(*count).Convert(value.Type()))
	}
}

// stubCore is a controller that answers with fixed values, or with err if it is set.
type stubCore struct {
	AdminCore
	answer   controller.Answer
	notReady bool
	reply    any // body of the answer to a heartbeat, with the status of answer
	err      error
	notFound bool
	calls    string
}

func (s *stubCore) recordCall(format string, args ...any) { s.calls += fmt.Sprintf(format, args...) }

func (s *stubCore) Submit(_ context.Context, body []byte) controller.Answer {
	s.recordCall("submit %s", body)
	return s.answer
}

func (s *stubCore) Query(_ context.Context, id string) controller.Answer {
	s.recordCall("query %s", id)
	return s.answer
}

func (s *stubCore) Cancel(_ context.Context, id string) controller.Answer {
	s.recordCall("cancel %s", id)
	return s.answer
}

func (s *stubCore) Ready(context.Context) bool { return !s.notReady }

func (s *stubCore) HandleHeartbeat(_ context.Context, heartbeat *protocol.Heartbeat, reply func(status int, body any)) {
	raw, err := json.Marshal(heartbeat)
	s.recordCall("report %s, %v", raw, err)
	if s.answer.Status != 0 {
		reply(s.answer.Status, s.reply)
	}
}

func (s *stubCore) Settings(context.Context) (controller.OperatorSettings, uint64, error) {
	return filledValue[controller.OperatorSettings](), 7, s.err
}

func (s *stubCore) ChangeSettings(_ context.Context, version uint64, raw json.RawMessage) (controller.OperatorSettings, uint64, error) {
	s.recordCall("settings %d %s", version, raw)
	return filledValue[controller.OperatorSettings](), version + 1, s.err
}

func (s *stubCore) MemberViews(context.Context) ([]controller.MemberView, error) {
	return filledValue[[]controller.MemberView](), s.err
}

func (s *stubCore) ShardViews(context.Context) ([]controller.ShardView, error) {
	return filledValue[[]controller.ShardView](), s.err
}

func (s *stubCore) JobViews(_ context.Context, team, after string, limit int) ([]controller.JobView, bool, error) {
	s.recordCall("jobs team=%q after=%q limit=%d", team, after, limit)
	return filledValue[[]controller.JobView](), true, s.err
}

func (s *stubCore) MachineInfos(_ context.Context, after string, limit int) ([]controller.MachineInfo, bool, error) {
	s.recordCall("machines after=%q limit=%d", after, limit)
	return filledValue[[]controller.MachineInfo](), true, s.err
}

func (s *stubCore) MachineInfo(_ context.Context, name string) (controller.MachineInfo, bool, error) {
	s.recordCall("machine %q", name)
	return filledValue[controller.MachineInfo](), !s.notFound, s.err
}

func (s *stubCore) Evictions(context.Context) ([]controller.VictimSetView, error) {
	return filledValue[[]controller.VictimSetView](), s.err
}

func (s *stubCore) Teams(context.Context) ([]controller.TeamView, error) {
	return filledValue[[]controller.TeamView](), s.err
}

func (s *stubCore) Team(_ context.Context, name string) (controller.TeamView, error) {
	s.recordCall("team %q", name)
	return filledValue[controller.TeamView](), s.err
}

func (s *stubCore) ChangeTeam(_ context.Context, name string, version uint64, raw json.RawMessage) (controller.TeamView, error) {
	s.recordCall("team %q %d %s", name, version, raw)
	return filledValue[controller.TeamView](), s.err
}

func (s *stubCore) Metrics() *controller.Metrics { return controller.NewMetrics() }
func (s *stubCore) ViewEnabled() bool            { return !s.notReady }
func (s *stubCore) HasTeam(name string) bool     { return name == "red" }

func (s *stubCore) View(_ context.Context, cursor view.Cursor) *view.Snapshot {
	s.recordCall("view after %d of %d", cursor.Seq, cursor.Epoch)
	if s.notFound {
		return nil
	}
	return largeSnapshot(1)
}

func (s *stubCore) Reasons(_ context.Context, scope view.Scope, ids []string) ([]view.Reason, error) {
	s.recordCall("reasons of %q for %q", ids, scope)
	return filledValue[[]view.Reason](), s.err
}
