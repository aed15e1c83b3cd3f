package streams

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// recordBytes is the size of one encoded row: its key, the index of its origin and when it expires.
	recordBytes = 8 + 2 + 2
	// maxStoredOrigins limits the origins of one object. Rows of further ones are left out.
	maxStoredOrigins = 256
	// maxOriginBytes limits the names of an origin in an object. Rows with longer ones are left out.
	maxOriginBytes = 256
)

// StoredRows is the form of rows in the platform's store. In JSON, a row takes 16 bytes.
type StoredRows struct {
	Origins []Origin `json:"origins"`
	Base    int64    `json:"base"` // Unix time that the records count from, in seconds
	Records []byte   `json:"records"`
}

// EncodeRows returns the form of rows in the store. Of more than maxDurableRows, it leaves out some.
func EncodeRows(now time.Time, rows []Row) StoredRows {
	s := StoredRows{Origins: []Origin{}, Base: now.Unix(), Records: make([]byte, 0, recordBytes*len(rows))}
	index := make(map[Origin]int)
	for _, row := range rows[:min(len(rows), maxDurableRows)] {
		i, known := index[row.Origin]
		if !known {
			if len(s.Origins) == maxStoredOrigins || len(row.Origin.Service)+len(row.Origin.Software) > maxOriginBytes {
				continue
			}
			i = len(s.Origins)
			index[row.Origin] = i
			s.Origins = append(s.Origins, row.Origin)
		}
		seconds := row.Expires.Add(time.Second-1).Unix() - s.Base // rounded up
		s.Records = binary.BigEndian.AppendUint64(s.Records, uint64(row.Key))
		s.Records = binary.BigEndian.AppendUint16(s.Records, uint16(i))
		s.Records = binary.BigEndian.AppendUint16(s.Records, uint16(max(0, min(seconds, 1<<16-1))))
	}
	return s
}

// Check returns an error if the records aren't well-formed.
func (s *StoredRows) Check() error {
	switch n := len(s.Records) / recordBytes; {
	case len(s.Records)%recordBytes != 0:
		return errors.Errorf("%d bytes of records", len(s.Records))
	case n > maxDurableRows || len(s.Origins) > maxStoredOrigins:
		return errors.Errorf("%d rows of %d origins", n, len(s.Origins))
	}
	for record := range slices.Chunk(s.Records, recordBytes) {
		if i := binary.BigEndian.Uint16(record[8:]); int(i) >= len(s.Origins) {
			return errors.Errorf("no origin %d", i)
		}
	}
	return nil
}

// Rows returns the rows. The records have to be well-formed (see Check).
func (s *StoredRows) Rows() []Row {
	out := make([]Row, 0, len(s.Records)/recordBytes)
	for record := range slices.Chunk(s.Records, recordBytes) {
		out = append(out, s.row(record))
	}
	return out
}

func (s *StoredRows) row(record []byte) Row {
	return Row{
		Key: Key(binary.BigEndian.Uint64(record)), Origin: s.Origins[binary.BigEndian.Uint16(record[8:])],
		Expires: time.Unix(s.Base+int64(binary.BigEndian.Uint16(record[10:])), 0),
	}
}

// FindStored returns the origin of a stream by the objects of all availability zones, whose records have to be
// well-formed. found is false if no object has a row that is valid. The origin is empty if rows are contradictory.
func FindStored(now time.Time, objects []StoredRows, key Key) (origin Origin, found bool) {
	var answers []Answer
	for i := range objects {
		for record := range slices.Chunk(objects[i].Records, recordBytes) {
			if Key(binary.BigEndian.Uint64(record)) != key {
				continue
			}
			if row := objects[i].row(record); now.Before(row.Expires) && !row.Expires.After(now.Add(MaxLife+clockSlack)) {
				answers = append(answers, Answer{Basis: ByRow, Origin: row.Origin})
			}
		}
	}
	return Resolve(Answer{}, answers)
}

// clockSlack is how much the clocks of instances may differ. A row that expires later than it could by that was written
// by an instance whose clock is wrong, and isn't used.
const clockSlack = time.Minute
