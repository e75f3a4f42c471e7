/*
 * One non-idempotent request, which an entry daemon sends to one of two endpoints and which
 * may run at most once.
 *
 * A connection may fail before anything is sent. A request may arrive late, also after the
 * daemon has stopped waiting for it. An endpoint runs it or rejects it without running it,
 * and the response may be lost with the connection.
 */

// mutant: SENDS_AGAIN_AFTER_A_BREAK
// mutant: BREAK_ANSWERED_AS_NOT_RUN
// mutant: TIMEOUT_ANSWERED_AS_NOT_RUN

#define SERVED 1
#define NOT_RUN 2
#define UNKNOWN 3

#define RAN 1
#define REFUSED 2

byte runs;
byte answer;

chan wire[2] = [1] of { bool };
chan back[2] = [1] of { byte };

proctype Endpoint(byte i) {
end:
	do
	:: wire[i] ? true ->
		if
		:: atomic { runs++; assert(runs <= 1); assert(answer != NOT_RUN) };
			back[i] ! RAN
		:: back[i] ! REFUSED
		fi
	od
}

proctype Daemon() {
	byte target;
	byte tried;
	bool mayHaveRun;
	byte got;
	do
	:: tried == 2 || answer != 0 -> break
	:: tried < 2 && answer == 0 ->
		target = tried;
		tried++;
		if
		/* The connection cannot be opened: nothing was sent. */
		:: skip
		:: wire[target] ! true;
			if
			:: back[target] ? got ->
				if
				:: got == RAN -> answer = SERVED
				:: got == REFUSED -> skip
				fi
			/* The connection fails; the request may still arrive and run. */
			:: mayHaveRun = true;
#ifdef BREAK_ANSWERED_AS_NOT_RUN
				answer = NOT_RUN
#else
#ifdef SENDS_AGAIN_AFTER_A_BREAK
				skip
#else
				answer = UNKNOWN
#endif
#endif
			/* The deadline has passed; the request may still run. */
			:: mayHaveRun = true;
#ifdef TIMEOUT_ANSWERED_AS_NOT_RUN
				answer = NOT_RUN
#else
				answer = UNKNOWN
#endif
			fi
		fi
	od;
	if
	:: answer == 0 && mayHaveRun -> answer = UNKNOWN
	:: answer == 0 && !mayHaveRun -> answer = NOT_RUN
	:: else
	fi;
	assert(answer != NOT_RUN || runs == 0)
}

init {
	atomic { run Endpoint(0); run Endpoint(1); run Daemon() }
}
