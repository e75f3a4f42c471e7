/*
 * Freshness of API keys at two entry daemons.
 *
 * A daemon reads the log of configurations. What it has read counts as confirmed at the
 * time at which it sent the read. Daemon 1 also tells daemon 0 its offset and the age of
 * its confirmation, in a response to a message that carries daemon 0's time. A daemon
 * accepts a key while its confirmation is younger than the bound. The record that revokes
 * the key may be appended at any time; reads and messages may take any time or be lost; a
 * host may sleep.
 */

// mutant: CONFIRMED_AT_RECEIPT
// mutant: PEER_AGE_FROM_RECEIPT
// mutant: PEER_OFFSET_IGNORED
// mutant: CLOCK_STOPS_IN_SLEEP

#define BOUND 2
#define TIME 5
#define NEVER 255

byte now = 1;

/* End of the log: 0 before the record that revokes the key, 1 after it. */
byte logEnd;
byte revokedAt = NEVER;

/* The offset up to which a daemon has read, and the time at which that was the end of the log. */
byte offset[2];
byte confirmed[2] = NEVER;

/* A read: 0 none, 1 sent, 2 the store has responded. */
byte readState[2];
byte readSent[2];
byte readEnd[2];

/* A message of daemon 0 to daemon 1: 0 none, 1 sent, 2 daemon 1 has responded. */
byte askState;
byte askSent;
byte askOffset;
byte askAge;

/* Time that a host has slept. */
byte slept[2];

#ifdef CLOCK_STOPS_IN_SLEEP
#define CLOCK(i) (now - slept[i])
#else
#define CLOCK(i) (now)
#endif

#define FRESH(i) (confirmed[i] != NEVER && CLOCK(i) - confirmed[i] < BOUND)

inline confirm(i, at) {
	if
	:: confirmed[i] == NEVER || at > confirmed[i] -> confirmed[i] = at
	:: else
	fi
}

proctype Daemon(byte i) {
	byte received;
end:
	do
	:: atomic { readState[i] == 0 -> readState[i] = 1; readSent[i] = CLOCK(i) }
	:: atomic { readState[i] == 1 -> readState[i] = 2; readEnd[i] = logEnd }
	:: atomic {
		readState[i] == 2 ->
		offset[i] = readEnd[i];
#ifdef CONFIRMED_AT_RECEIPT
		confirm(i, CLOCK(i));
#else
		confirm(i, readSent[i]);
#endif
		readState[i] = 0; readSent[i] = 0; readEnd[i] = 0
	}
	/* The read or its response is lost. */
	:: atomic { readState[i] != 0 -> readState[i] = 0; readSent[i] = 0; readEnd[i] = 0 }
	:: atomic { i == 0 && askState == 0 -> askState = 1; askSent = CLOCK(i) }
	/* Daemon 1 responds with its offset and the age of its confirmation. */
	:: atomic {
		i == 0 && askState == 1 && confirmed[1] != NEVER ->
		askState = 2;
		askOffset = offset[1];
		askAge = CLOCK(1) - confirmed[1]
	}
	:: atomic {
		i == 0 && askState == 2 ->
#ifdef PEER_AGE_FROM_RECEIPT
		received = CLOCK(i);
#else
		received = askSent;
#endif
		if
#ifdef PEER_OFFSET_IGNORED
		:: received > askAge -> confirm(i, received - askAge)
#else
		:: received > askAge && offset[i] >= askOffset -> confirm(i, received - askAge)
#endif
		:: else
		fi;
		received = 0; askState = 0; askSent = 0; askOffset = 0; askAge = 0
	}
	:: atomic { i == 0 && askState != 0 -> askState = 0; askSent = 0; askOffset = 0; askAge = 0 }
	/* A request with the key is accepted. */
	:: atomic {
		offset[i] == 0 && FRESH(i) ->
		assert(revokedAt == NEVER || now - revokedAt < BOUND)
	}
	od
}

proctype Operator() {
	atomic { logEnd = 1; revokedAt = now }
}

proctype Time() {
	do
	:: atomic {
		now < TIME -> now++;
#ifdef CLOCK_STOPS_IN_SLEEP
		if
		:: skip
		:: slept[0]++
		:: slept[1]++
		fi
#endif
	}
	:: now == TIME -> break
	od
}

init {
	atomic { run Daemon(0); run Daemon(1); run Operator(); run Time() }
}
