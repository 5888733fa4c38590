package storage

import (
	"encoding/json"
	"fmt"
)

// Encode writes a record as JSON. It panics if the record cannot be written, which no record of
// finite numbers and strings causes.
func Encode(record any) json.RawMessage {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("record cannot be written: %v", err))
	}
	return raw
}

// EncodeGroup writes a machine group's record, in the packed or the plain layout.
func EncodeGroup(record *GroupRecord, packed bool) json.RawMessage {
	if packed {
		record = &GroupRecord{Shard: record.Shard, FencingToken: record.FencingToken, Packed: record.pack()}
	}
	return Encode(record)
}

// DecodeGroup reads a machine group's record of either layout. The error wraps ErrCorrupt.
func DecodeGroup(raw json.RawMessage) (record GroupRecord, err error) {
	if record, err = decodeJSON[GroupRecord](raw); err == nil && record.Packed != "" {
		err = record.unpack(record.Packed)
	}
	return record, err
}

// EncodeFleet writes a fleet's record, in the packed or the plain layout.
func EncodeFleet(record *FleetRecord, packed bool) json.RawMessage {
	if packed {
		packedRecord := *record
		packedRecord.Packed, packedRecord.Machines = record.pack(), nil
		record = &packedRecord
	}
	return Encode(record)
}

// DecodeFleet reads a fleet's record of either layout. The error wraps ErrCorrupt.
func DecodeFleet(raw json.RawMessage) (record FleetRecord, err error) {
	if record, err = decodeJSON[FleetRecord](raw); err == nil && record.Packed != "" {
		err = record.unpack(record.Packed)
		record.Packed = ""
	}
	return record, err
}

// EncodeVictimSet writes a victim set, in the packed or the plain layout.
func EncodeVictimSet(record *VictimSetRecord, packed bool) json.RawMessage {
	if packed {
		record = &VictimSetRecord{Shard: record.Shard, AtMs: record.AtMs, Packed: record.pack()}
	}
	return Encode(record)
}

// DecodeVictimSet reads a victim set of either layout. The error wraps ErrCorrupt.
func DecodeVictimSet(raw json.RawMessage) (record VictimSetRecord, err error) {
	if record, err = decodeJSON[VictimSetRecord](raw); err == nil && record.Packed != "" {
		err = record.unpack(record.Packed)
		record.Packed = ""
	}
	return record, err
}
