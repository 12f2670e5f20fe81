package raftlog

import "fmt"

// raftLogger discards raft's log lines. Its Fatal and Panic methods panic, so that recoverPanic gets the error.
type raftLogger struct{}

func (raftLogger) Debug(...any)              {}
func (raftLogger) Debugf(string, ...any)     {}
func (raftLogger) Error(...any)              {}
func (raftLogger) Errorf(string, ...any)     {}
func (raftLogger) Info(...any)               {}
func (raftLogger) Infof(string, ...any)      {}
func (raftLogger) Warning(...any)            {}
func (raftLogger) Warningf(string, ...any)   {}
func (raftLogger) Fatal(x ...any)            { panic(fmt.Sprint(x...)) }
func (raftLogger) Fatalf(f string, x ...any) { panic(fmt.Sprintf(f, x...)) }
func (raftLogger) Panic(x ...any)            { panic(fmt.Sprint(x...)) }
func (raftLogger) Panicf(f string, x ...any) { panic(fmt.Sprintf(f, x...)) }
