package storage

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// The packed layout encodes the lists of machine groups, fleets and victim sets as base64 text of
// variable-length numbers. It takes about 5 bytes per placed task; the plain JSON layout takes 25 to
// 60. A group's plain record that exceeds a lowered record size limit fits it once it is rewritten in
// the packed layout.

var errMalformedList = fmt.Errorf("%w: packed list is cut short or malformed", ErrCorrupt)

// maxNumberDigits is the maximum number of trailing digits of a name that are packed as a number.
const maxNumberDigits = 18

// packer writes numbers and names. A name like host-000231 consists of the prefix host- with a width
// of six digits, which is written once, and the number 231.
type packer struct {
	buffer      []byte
	prefixIndex map[string]uint64 // by prefix and width, as "<prefix>#<width>"
	nameIndex   map[string]uint64 // by name, in the order of first occurrence
}

func newPacker() *packer {
	return &packer{prefixIndex: map[string]uint64{}, nameIndex: map[string]uint64{}}
}

// number writes an unsigned number as a variable-length integer.
func (p *packer) number(n uint64) { p.buffer = binary.AppendUvarint(p.buffer, n) }

// delta writes a number as its signed difference from another.
func (p *packer) delta(n, from uint64) { p.buffer = binary.AppendVarint(p.buffer, int64(n-from)) }

// text writes a string, preceded by its length.
func (p *packer) text(s string) {
	p.number(uint64(len(s)))
	p.buffer = append(p.buffer, s...)
}

// name writes a name: a reference to its first occurrence, or for a new name its prefix and number.
func (p *packer) name(name string) {
	if index, ok := p.nameIndex[name]; ok {
		p.number(index + 1)
		return
	}
	p.nameIndex[name] = uint64(len(p.nameIndex))
	p.number(0)
	digitsStart := prefixLength(name)
	p.prefix(name[:digitsStart] + "#" + strconv.Itoa(len(name)-digitsStart))
	if digitsStart < len(name) {
		n, _ := strconv.ParseUint(name[digitsStart:], 10, 64) // at most maxNumberDigits digits
		p.number(n)
	}
}

// prefixLength returns the length of a name without the trailing digits that are packed as a number.
func prefixLength(name string) int {
	length := len(name)
	for length > 0 && len(name)-length < maxNumberDigits && name[length-1] >= '0' && name[length-1] <= '9' {
		length--
	}
	return length
}

// prefix writes a prefix's index, followed by its text if the prefix is new.
func (p *packer) prefix(prefix string) {
	index, known := p.prefixIndex[prefix]
	if !known {
		index = uint64(len(p.prefixIndex))
		p.prefixIndex[prefix] = index
	}
	p.number(index)
	if !known {
		p.text(prefix)
	}
}

// address writes a network address. An IPv4 address with a port, like 10.1.0.232:9000, takes seven
// bytes; any other address is written as text.
func (p *packer) address(s string) {
	var ip [4]byte
	var port uint16
	if n, err := fmt.Sscanf(s, "%d.%d.%d.%d:%d", &ip[0], &ip[1], &ip[2], &ip[3], &port); n == 5 && err == nil &&
		s == fmt.Sprintf("%d.%d.%d.%d:%d", ip[0], ip[1], ip[2], ip[3], port) {
		p.number(0)
		p.buffer = append(p.buffer, ip[:]...)
		p.buffer = binary.BigEndian.AppendUint16(p.buffer, port)
		return
	}
	p.number(uint64(len(s)) + 1)
	p.buffer = append(p.buffer, s...)
}

// String returns the packed data as base64 text, which needs no escaping in JSON.
func (p *packer) String() string { return base64.RawStdEncoding.EncodeToString(p.buffer) }

// unpacker reads the output of a packer. After an error its methods return zero values, and err wraps
// ErrCorrupt.
type unpacker struct {
	buffer   []byte
	prefixes []namePrefix
	names    []string
	err      error
}

// namePrefix is a name without its number, and the number of digits of that number.
type namePrefix struct {
	text  string
	width int
}

func newUnpacker(text string) *unpacker {
	buffer, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		err = wrapCorrupt(err)
	}
	return &unpacker{buffer: buffer, err: err}
}

func (u *unpacker) fail() {
	u.buffer = nil
	if u.err == nil {
		u.err = errMalformedList
	}
}

func (u *unpacker) number() uint64 {
	n, size := binary.Uvarint(u.buffer)
	if size <= 0 {
		u.fail()
		return 0
	}
	u.buffer = u.buffer[size:]
	return n
}

func (u *unpacker) delta(from uint64) uint64 {
	n, size := binary.Varint(u.buffer)
	if size <= 0 {
		u.fail()
		return 0
	}
	u.buffer = u.buffer[size:]
	return from + uint64(n)
}

// count reads the number of entries that follow. Each entry takes at least one byte, so a larger
// count than the remaining bytes is malformed.
func (u *unpacker) count() int {
	n := u.number()
	if n > uint64(len(u.buffer)) {
		u.fail()
		return 0
	}
	return int(n)
}

// text reads a string of the given length in bytes.
func (u *unpacker) text(length uint64) string {
	if length > uint64(len(u.buffer)) {
		u.fail()
		return ""
	}
	s := string(u.buffer[:length])
	u.buffer = u.buffer[length:]
	return s
}

func (u *unpacker) name() string {
	if index := u.number(); index > 0 {
		if index > uint64(len(u.names)) {
			u.fail()
			return ""
		}
		return u.names[index-1]
	}
	prefix, ok := u.prefix()
	if !ok {
		return ""
	}
	name := prefix.text
	if prefix.width > 0 {
		name += fmt.Sprintf("%0*d", prefix.width, u.number())
	}
	u.names = append(u.names, name)
	return name
}

func (u *unpacker) prefix() (prefix namePrefix, ok bool) {
	index := u.number()
	if index == uint64(len(u.prefixes)) && u.err == nil {
		text := u.text(u.number())
		separator := strings.LastIndexByte(text, '#')
		width := -1
		if separator >= 0 {
			width, _ = strconv.Atoi(text[separator+1:])
		}
		if width < 0 || width > maxNumberDigits {
			u.fail()
			return namePrefix{}, false
		}
		u.prefixes = append(u.prefixes, namePrefix{text[:separator], width})
	}
	if index >= uint64(len(u.prefixes)) {
		u.fail()
		return namePrefix{}, false
	}
	return u.prefixes[index], true
}

func (u *unpacker) address() string {
	const ipAndPort = 6 // bytes
	if n := u.number(); n > 0 {
		return u.text(n - 1)
	}
	raw := u.text(ipAndPort)
	if len(raw) < ipAndPort {
		return ""
	}
	return fmt.Sprintf("%d.%d.%d.%d:%d", raw[0], raw[1], raw[2], raw[3], binary.BigEndian.Uint16([]byte(raw[4:])))
}

// PackIDs packs a list of job ids; the result for an empty list is "".
func PackIDs(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	packer := newPacker()
	packer.number(uint64(len(ids)))
	for _, id := range ids {
		packer.name(id)
	}
	return packer.String()
}

// unpackIDs reads the output of PackIDs. An error wraps ErrCorrupt.
func unpackIDs(text string) ([]string, error) {
	if text == "" {
		return nil, nil
	}
	unpacker := newUnpacker(text)
	var ids []string
	for range unpacker.count() {
		ids = append(ids, unpacker.name())
	}
	return ids, unpacker.err
}
