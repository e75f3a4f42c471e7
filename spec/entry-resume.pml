/*
 * A stream that is resumed by a new run inside one response.
 *
 * A run emits events, each in two pieces of bytes, from the one after the last whole event
 * that the caller has. It may break anywhere, and what it had sent may still arrive. The
 * daemon relays whole events only, and ends the response as complete only behind the end
 * that a run marks.
 */

// mutant: KEEPS_THE_PART_OF_AN_EVENT
// mutant: RESUMES_FROM_THE_START
// mutant: CLOSE_TAKEN_FOR_THE_END
// mutant: READS_THE_OLD_CONNECTION

#define EVENTS 3
#define RUNS 3

mtype = { HEAD, TAIL, END, CLOSED };

chan connection[RUNS] = [2] of { mtype, byte };
byte from[RUNS];
bool started[RUNS];

byte last;
bool complete;

/* The run whose connection the daemon reads; RUNS once the response has ended. */
byte current;

/* Sends a piece, unless the daemon has given the run up. */
inline emit(piece, id) {
	if
	:: connection[r] ! piece, id
	:: current != r -> goto stopped
	fi
}

proctype Run(byte r) {
	byte id;
	if
	:: started[r]
	:: current > r -> goto stopped
	fi;
	id = from[r];
	do
	:: id <= EVENTS ->
		if
		:: emit(HEAD, id);
			if
			:: emit(TAIL, id); id++
			:: emit(CLOSED, 0); break
			fi
		:: emit(CLOSED, 0); break
		fi
	:: id > EVENTS -> emit(END, 0); break
	od;
stopped:
	skip
}

proctype Daemon() {
	byte r;
	byte id;
	byte part;
	byte partRun;
	byte source;
	started[0] = true;
end:
	do
	:: complete -> break
	:: !complete ->
		source = r;
#ifdef READS_THE_OLD_CONNECTION
		if
		:: r > 0 && nempty(connection[r - 1]) -> source = r - 1
		:: true
		fi;
#endif
		if
		:: atomic { connection[source] ? HEAD, id ->
			assert(part == 0);
			part = id; partRun = source }
		:: atomic { connection[source] ? TAIL, id ->
			/* An event comes from one run, and follows the one before it. */
			assert(part == id && partRun == source);
			assert(id == last + 1);
			last = id; part = 0; partRun = 0 }
		:: atomic { connection[source] ? END, _ ->
			assert(last == EVENTS);
			complete = true }
		:: connection[source] ? CLOSED, _ ->
#ifdef CLOSE_TAKEN_FOR_THE_END
			atomic { assert(last == EVENTS); complete = true }
#endif
			goto resume
		/* Gives the run up because a part of its path is lost. */
		:: r < RUNS - 1 -> goto resume
		fi
	od;
	goto stop;
resume:
	if
	:: r < RUNS - 1 ->
		atomic {
#ifndef KEEPS_THE_PART_OF_AN_EVENT
			part = 0; partRun = 0;
#endif
			r++;
			current = r;
#ifdef RESUMES_FROM_THE_START
			from[r] = 1;
#else
			from[r] = last + 1;
#endif
			started[r] = true
		};
		goto end
	/* No run is left: the response ends as cut off. */
	:: r == RUNS - 1 -> skip
	fi;
stop:
	current = RUNS
}

init {
	atomic {
		from[0] = 1;
		run Daemon(); run Run(0); run Run(1); run Run(2)
	}
}
