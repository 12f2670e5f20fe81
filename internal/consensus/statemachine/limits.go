package statemachine

// Limits of commands and of the state.
const (
	MaxCommandBytes     = 16 << 10  // of one encoded command
	MaxSnapshotBytes    = 1 << 20   // of an encoded snapshot
	MaxNameBytes        = 128       // of a register's name
	MaxValueBytes       = 8 << 10   // of a register's value
	MaxRegisterBytes    = 512 << 10 // of all registers together, including registerOverheadBytes for each
	MaxRegisters        = 4096
	MaxClients          = 1024  // whose results are stored: one for every gateway of the largest fleet
	MaxResultsPerClient = 8     // stored for one client
	MaxRequestAge       = 16384 // log entries after which a request is rejected as expired, and an inactive client's results are dropped
	MaxLeases           = 2048
	MaxAcksPerCommand   = 400 // acknowledgements and expired leases: 400 of at most 30 bytes fit MaxCommandBytes
	MaxRestrictions     = 64  // that are incomplete at a time
	GraceRenewals       = 3   // Renew commands that renew a lease though its holder has not acknowledged a restriction

	registerOverheadBytes = 64 // counted for each register in addition to its name and values
)
