package view

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// A feed sends the changes of a snapshot in pages, oldest change first. The reader sends a cursor with
// the last change that it has read, so the controller keeps no state per reader. The last page, which is
// not marked with flagMore, carries the head; with it the reader has a complete snapshot. The controller
// may take a newer snapshot between two pages: a row that changed in between moves to the end of the
// log and is sent there, so the last page still completes exactly one revision.

// A page begins with a magic byte that is the first byte of neither an HTTP message nor a peer frame,
// the version and the flags. Integers are encoded as varints.
const (
	feedMagic       = 0xD9
	feedVersion     = 1
	flagReset       = 1    // the reader must discard its rows first
	flagMore        = 2    // more pages follow
	flagRemoved     = 0x80 // set in the kind of a row that was removed
	pageHeaderBytes = 3    // bytes before the first integer: magic, version, flags
	// MaxPage is the size in bytes after which a page takes no further row. It bounds the memory
	// that slow readers use in a controller.
	MaxPage      = 64 << 10
	maxTextBytes = 256     // longer texts are truncated when written and malformed when read
	maxVictims   = 100_000 // further victims of a set are left out
)

// Cursor is the position of a reader in a feed: the last sequence number that it has read, and the
// epoch of the model that assigned it.
type Cursor struct{ Epoch, Seq uint64 }

// ErrMalformedPage is returned for a page that cannot be decoded. The reader must restart from an empty
// mirror.
var ErrMalformedPage = errors.New("malformed page of the view feed")

// AppendPage appends a page with the changes after the cursor that the scope may see. now is the
// controller's clock as Unix time in milliseconds, from which readers compute the age of the snapshot.
func (s *Snapshot) AppendPage(data []byte, scope Scope, cursor Cursor, now int64) []byte {
	flags := byte(0)
	if cursor.Epoch != s.Epoch || cursor.Seq > s.Seq || cursor.Seq > 0 && cursor.Seq < s.logFloor {
		cursor.Seq = 0
	}
	if cursor.Seq == 0 {
		flags = flagReset
	}
	start := len(data)
	data = append(data, feedMagic, feedVersion, 0) // the flags are set below
	data = binary.AppendUvarint(data, s.Epoch)
	page := pageEncoder{data: data}
	next := cursor.Seq
	s.log.Ascend(cursor.Seq+1, func(seq uint64, changed logEntry) bool {
		if len(page.data)-start > MaxPage {
			flags |= flagMore
			return false
		}
		next = seq
		if cursor.Seq > 0 || !changed.removed {
			page.row(s, scope, changed)
		}
		return true
	})
	page.data = append(page.data, 0) // kind 0 ends the rows
	if flags&flagMore == 0 {
		next = s.Seq
		head := scope.Head(s.Head)
		head.NowMs = now
		page.head(head)
	}
	page.uint(next)
	page.data[start+pageHeaderBytes-1] = flags
	return page.data
}

// Page is a decoded page. Next is the reader's cursor after the page. If Reset is set, the reader must
// discard the rows of earlier pages.
type Page struct {
	Reset   bool
	Next    Cursor
	Head    *Head // nil if more pages follow
	changes []func(*Model)
}

// Apply applies the changes of the page to the reader's model, which no other goroutine may use
// meanwhile.
func (p *Page) Apply(model *Model) {
	for _, apply := range p.changes {
		apply(model)
	}
}

// ReadPage decodes a page. Its errors wrap ErrMalformedPage.
func ReadPage(data []byte) (*Page, error) {
	if len(data) < pageHeaderBytes || data[0] != feedMagic {
		return nil, fmt.Errorf("%w: no page header", ErrMalformedPage)
	}
	if data[1] != feedVersion {
		return nil, fmt.Errorf("%w: format version %d, want %d", ErrMalformedPage, data[1], feedVersion)
	}
	flags := data[2]
	decoder := &pageDecoder{data: data[pageHeaderBytes:]}
	page := &Page{Reset: flags&flagReset != 0, Next: Cursor{Epoch: decoder.uint()}}
	for !decoder.malformed {
		kindByte := decoder.byte()
		if kindByte == 0 {
			break
		}
		decoder.row(page, kindByte)
	}
	if flags&flagMore == 0 {
		page.Head = decoder.head(page.Next.Epoch)
	}
	page.Next.Seq = decoder.uint()
	if decoder.malformed || len(decoder.data) > 0 || flags&^(flagReset|flagMore) != 0 {
		return nil, fmt.Errorf("%w: truncated, trailing or out-of-range data in %d bytes with flags %#x", ErrMalformedPage, len(data), flags)
	}
	return page, nil
}
