package admin

import (
	"context"
	"sync"
)

// maxActions bounds the actions that run or wait at once, including those that outlast their calls.
const maxActions = 64

// Serializer runs actions with the same key one at a time. Of two successful actions, the one that was answered later is therefore in
// effect. Servers with the same Control share a Serializer. The zero value is ready to use.
type Serializer struct {
	mu      sync.Mutex
	actions int
	locks   map[string]*keyLock
}

// keyLock is the lock of one key. It exists while an action runs or waits.
type keyLock struct {
	held  chan struct{} // has a capacity of one, and is full while the lock is held
	users int           // actions that run or wait
}

// do runs an action under the lock of its key. It returns ErrTimeout if the context ends first, or if there are maxActions already.
// Otherwise the lock is held until the caller calls release, after its answer. An action that outlasts the context holds the lock until
// it returns.
func (s *Serializer) do(ctx context.Context, key string, action func() error) (release func(), err error) {
	unlock, ok := s.acquire(ctx, key)
	if !ok {
		return func() {}, ErrTimeout
	}
	done := make(chan error, 1)
	go func() { done <- action() }()
	select {
	case err := <-done:
		return unlock, err
	case <-ctx.Done():
		go func() {
			<-done
			unlock()
		}()
		return func() {}, ErrTimeout
	}
}

// acquire waits for the lock of a key. It reports false if the context ends first, or if there are maxActions already.
func (s *Serializer) acquire(ctx context.Context, key string) (unlock func(), ok bool) {
	lock, ok := s.register(key)
	if !ok {
		return nil, false
	}
	select {
	case lock.held <- struct{}{}:
		return func() {
			<-lock.held
			s.unregister(key, lock)
		}, true
	case <-ctx.Done():
		s.unregister(key, lock)
		return nil, false
	}
}

// register counts an action and returns the lock of its key.
func (s *Serializer) register(key string) (lock *keyLock, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.actions >= maxActions {
		return nil, false
	}
	s.actions++
	if s.locks == nil {
		s.locks = map[string]*keyLock{}
	}
	lock = s.locks[key]
	if lock == nil {
		lock = &keyLock{held: make(chan struct{}, 1)}
		s.locks[key] = lock
	}
	lock.users++
	return lock, true
}

// unregister reverts register, and removes a lock without users.
func (s *Serializer) unregister(key string, lock *keyLock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actions--
	lock.users--
	if lock.users == 0 {
		delete(s.locks, key)
	}
}
