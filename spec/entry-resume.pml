/*
 * A stream that is resumed by a new run within one response.
 *
 * A run sends events, each in two parts, from the event after the last complete one that
 * the caller has. Its connection may close anywhere, and what it had sent before may still
 * arrive. The daemon relays complete events only, and marks the response as complete only
 * after a run has marked its end.
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

/* The run whose connection the daemon reads, or RUNS once the response has ended. */
byte current;

/* Sends a part of an event, unless the daemon has abandoned the run. */
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
			/* Both parts of an event come from one run, and events are in order without gaps. */
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
		/* Abandons the run because a stage of its path is lost. */
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
	/* No run is left: the response is cut off. */
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
