package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// checksumBytes is the length of the CRC-32C that precedes each value.
const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// entryKey is the key of a log entry: its index, big-endian, so that the keys sort by index.
func entryKey(index uint64) string {
	return string(binary.BigEndian.AppendUint64(nil, index))
}

// deleteEntries deletes the log entries for whose index match returns true.
func deleteEntries(entries *bbolt.Bucket, match func(index uint64) bool) error {
	var keys [][]byte
	cursor := entries.Cursor()
	for key, _ := cursor.First(); key != nil; key, _ = cursor.Next() {
		if match(binary.BigEndian.Uint64(key)) {
			keys = append(keys, bytes.Clone(key))
		}
	}
	for _, key := range keys {
		if err := entries.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// putProto stores an encoded message, preceded by its checksum.
func putProto(bucket *bbolt.Bucket, key string, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return putChecked(bucket, key, data)
}

// getProto decodes a value into message. It returns ErrDamaged if the value is missing, its checksum does not match, or it
// can't be decoded.
func getProto(bucket *bbolt.Bucket, key string, message proto.Message) error {
	data, err := getChecked(bucket, key)
	if err == nil {
		err = proto.Unmarshal(data, message)
	}
	if err != nil {
		return fmt.Errorf("%w: %q: %w", ErrDamaged, key, err)
	}
	return nil
}

// putChecked stores a value, preceded by its checksum.
func putChecked(bucket *bbolt.Bucket, key string, data []byte) error {
	checksum := crc32.Checksum(data, castagnoli)
	return bucket.Put([]byte(key), append(binary.BigEndian.AppendUint32(nil, checksum), data...))
}

// getChecked returns a value without its checksum. It returns ErrDamaged if the value is missing or its checksum does
// not match.
func getChecked(bucket *bbolt.Bucket, key string) ([]byte, error) {
	stored := bucket.Get([]byte(key))
	if len(stored) < checksumBytes || crc32.Checksum(stored[checksumBytes:], castagnoli) != binary.BigEndian.Uint32(stored) {
		return nil, fmt.Errorf("%w: missing value or wrong checksum at key %q", ErrDamaged, key)
	}
	return stored[checksumBytes:], nil
}
