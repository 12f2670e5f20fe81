package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"syscall"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func drop(log *bbolt.Bucket, gone func(uint64) bool) error {
	var all [][]byte
	c := log.Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if gone(binary.BigEndian.Uint64(k)) {
			all = append(all, bytes.Clone(k))
		}
	}
	for _, k := range all {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

func putProto(b *bbolt.Bucket, key string, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return put(b, key, text)
}

func getProto(b *bbolt.Bucket, key string, m proto.Message) error {
	text, err := get(b, key)
	if err == nil {
		err = proto.Unmarshal(text, m)
	}
	if err != nil {
		return fmt.Errorf("%w: %q: %w", ErrTorn, key, err)
	}
	return nil
}

func put(b *bbolt.Bucket, key string, text []byte) error {
	sum := crc32.Checksum(text, castagnoli)
	return b.Put([]byte(key), append(binary.BigEndian.AppendUint32(nil, sum), text...))
}

func get(b *bbolt.Bucket, key string) ([]byte, error) {
	text := b.Get([]byte(key))
	if len(text) < 4 || crc32.Checksum(text[4:], castagnoli) != binary.BigEndian.Uint32(text) {
		return nil, fmt.Errorf("%w: checksum of %q", ErrTorn, key)
	}
	return text[4:], nil
}

// guard turns a panic over a damaged page into ErrTorn.
func guard(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("%w: %v", ErrTorn, p)
	}
}

// typed says which of this package's errors an error is.
func typed(err error) error {
	for _, e := range []error{ErrTorn, ErrFull, ErrForeign, ErrInUse, ErrDisk} {
		if err == nil || errors.Is(err, e) {
			return err
		}
	}
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT), errors.Is(err, syscall.EFBIG), errors.Is(err, bolterrors.ErrMaxSizeReached):
		return fmt.Errorf("%w: %w", ErrFull, err)
	case errors.Is(err, bolterrors.ErrTimeout):
		return fmt.Errorf("%w: %w", ErrInUse, err)
	case errors.Is(err, bolterrors.ErrVersionMismatch):
		return fmt.Errorf("%w: %w", ErrForeign, err)
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum):
		return fmt.Errorf("%w: %w", ErrTorn, err)
	}
	return fmt.Errorf("%w: %w", ErrDisk, err)
}
