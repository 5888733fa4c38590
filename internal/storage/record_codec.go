package storage

import (
	"encoding/json"
	"fmt"
)

// Encode encodes a record as JSON. It panics if that fails, which cannot happen for records that hold
// only strings and finite numbers.
func Encode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("cannot encode record as JSON: %v", err))
	}
	return raw
}

// EncodeGroup encodes a machine group's record in the packed or the plain layout.
func EncodeGroup(record *GroupRecord, packed bool) json.RawMessage {
	if packed {
		record = &GroupRecord{Shard: record.Shard, FencingToken: record.FencingToken, Packed: record.pack()}
	}
	return Encode(record)
}

// DecodeGroup decodes a machine group's record in either layout. An error wraps ErrCorrupt.
func DecodeGroup(raw json.RawMessage) (record GroupRecord, err error) {
	if record, err = decodeJSON[GroupRecord](raw); err == nil && record.Packed != "" {
		err = record.unpack(record.Packed)
	}
	return record, err
}

// EncodeFleet encodes a fleet's record in the packed or the plain layout.
func EncodeFleet(record *FleetRecord, packed bool) json.RawMessage {
	if packed {
		packedRecord := *record
		packedRecord.Packed, packedRecord.Machines = record.pack(), nil
		record = &packedRecord
	}
	return Encode(record)
}

// DecodeFleet decodes a fleet's record in either layout. An error wraps ErrCorrupt.
func DecodeFleet(raw json.RawMessage) (record FleetRecord, err error) {
	if record, err = decodeJSON[FleetRecord](raw); err == nil && record.Packed != "" {
		err = record.unpack(record.Packed)
		record.Packed = ""
	}
	return record, err
}

// EncodeVictimSet encodes a victim set in the packed or the plain layout.
func EncodeVictimSet(record *VictimSetRecord, packed bool) json.RawMessage {
	if packed {
		record = &VictimSetRecord{Shard: record.Shard, ChosenAtMs: record.ChosenAtMs, Packed: record.pack()}
	}
	return Encode(record)
}

// DecodeVictimSet decodes a victim set in either layout. An error wraps ErrCorrupt.
func DecodeVictimSet(raw json.RawMessage) (record VictimSetRecord, err error) {
	if record, err = decodeJSON[VictimSetRecord](raw); err == nil && record.Packed != "" {
		err = record.unpack(record.Packed)
		record.Packed = ""
	}
	return record, err
}
