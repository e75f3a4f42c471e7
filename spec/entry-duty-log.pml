/*
 * The placement duty by conditional appends to a log of the store, by two entry daemons.
 *
 * The writer of the last record holds the duty. It may give orders for the window of its
 * last append, counted from its sending, once the wait of the record before its tenure is
 * over. A record is an append on the condition that the log ends where its writer believes.
 * Each append takes any time to be carried out; its answer may be lost, and the daemon then
 * repeats it, or drops a claim, which may still be carried out later. A notice passes on
 * the last record at any time. A holder may give the duty up. At most once the store comes
 * back without its last record, and raises the era.
 */

// mutant: NO_WAIT
// mutant: WAIT_OF_LAST_ONLY
// mutant: WINDOW_FROM_ANSWER
// mutant: WINDOW_FROM_LAST_SENDING
// mutant: UNCONDITIONAL_APPEND
// mutant: NO_WAIT_AFTER_ERA
// mutant: ORDERS_WHILE_RELEASING
// mutant: NO_SERIAL

#define DAEMONS 2
#define SHORT 1
#define LONG 2
#define TIME 4
#define RECORDS 4
#define NONE 255

byte now;

/* The store: for each record its writer, the writer's number of the append, the era that the
   writer knew, and the time that a successor waits. */
byte era;
byte size = 1;
byte writer[RECORDS];
byte serial[RECORDS];
byte knownEra[RECORDS];
byte wait[RECORDS];

/* Daemon: whether it holds, the window of its last append, and from when it may order. */
bool holding[DAEMONS];
bool releasing[DAEMONS];
byte start[DAEMONS];
byte length[DAEMONS];
byte from[DAEMONS];

#ifdef ORDERS_WHILE_RELEASING
#define MAY_ORDER(i) (holding[i] && now >= from[i] && now < start[i] + length[i])
#else
#define MAY_ORDER(i) (holding[i] && !releasing[i] && now >= from[i] && now < start[i] + length[i])
#endif

#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* Variables that are not used any more get one value, so that fewer states are told apart. */
inline settle() {
	pending = false; sent = false; answered = false; done = false;
	at = 0; myWait = 0; first = 0; last = 0; got = 0;
	if
	:: !holding[i] -> start[i] = 0; length[i] = 0; from[i] = 0; window = SHORT
	:: else
	fi
}

/* What a daemon knows of the end of the log: offset of the last record, era, wait, since when. */
inline learn() {
	tail = size - 1;
	endEra = era;
	endWait = (knownEra[tail] == era -> wait[tail] : LONG);
	since = now
}

/* The append was carried out while the store was in era got. */
inline succeed() {
#ifdef NO_WAIT
	if
	:: !holding[i] -> from[i] = now
	:: else
	fi;
#else
	if
	:: got != endEra ->
#ifndef NO_WAIT_AFTER_ERA
		from[i] = now + LONG
#else
		from[i] = (holding[i] -> from[i] : since + endWait)
#endif
	:: got == endEra && !holding[i] -> from[i] = since + endWait
	:: else
	fi;
#endif
	holding[i] = !releasing[i];
	releasing[i] = false;
	length[i] = window;
	endWait = (got == endEra -> myWait : LONG);
	tail = at;
	endEra = got;
	since = now;
	settle()
}

proctype Daemon(byte i) {
	byte tail, endEra, endWait, since;
	byte at, myWait, window, first, last, count, got;
	bool pending, sent, answered, done;
	/* A claim that was dropped and may be carried out later. */
	byte lateAt, lateWait, lateEra, lateCount;
	window = SHORT;
	endWait = LONG;
end:
	do
	/* Hears the last record, from its writer or another daemon. */
	:: atomic {
		!pending && (endEra != era || tail != size - 1) ->
		learn();
		holding[i] = false;
		settle()
	}
	/* Claims the duty, confirms it, possibly with a longer window, or gives it up. */
	:: atomic {
		!pending && now < TIME && count < 2 ->
		if
		:: holding[i] && now >= from[i] -> myWait = window
		:: holding[i] && now >= from[i] && window < LONG -> window = LONG; myWait = LONG
		:: holding[i] -> releasing[i] = true; myWait = (now >= from[i] -> 0 : endWait)
		:: !holding[i] -> window = SHORT;
#ifdef WAIT_OF_LAST_ONLY
			myWait = window
#else
			myWait = MAX(window, endWait)
#endif
		fi;
		pending = true; count++; at = tail + 1;
		first = now; last = now; sent = true; done = false; answered = false
	}
	/* The store carries the append out, or refuses it. Its answer may be lost. */
	:: atomic {
		pending && sent && !done ->
		if
#ifdef UNCONDITIONAL_APPEND
		:: size < RECORDS -> at = size;
#else
		:: size == at && size < RECORDS ->
#endif
			writer[size] = i; serial[size] = count; knownEra[size] = endEra; wait[size] = myWait;
			size++; done = true; got = era
		:: else
		fi;
		sent = false;
		if
		:: answered = true
		:: answered = false
		fi
	}
	/* Drops a claim whose answer has not come. */
	:: atomic {
		pending && sent && !holding[i] && !done && lateAt == 0 ->
		lateAt = at; lateWait = myWait; lateEra = endEra; lateCount = count;
		settle()
	}
	:: atomic {
		lateAt != 0 ->
		if
		:: size == lateAt && size < RECORDS ->
			writer[size] = i; serial[size] = lateCount; knownEra[size] = lateEra; wait[size] = lateWait;
			size++
		:: else
		fi;
		lateAt = 0; lateWait = 0; lateEra = 0; lateCount = 0
	}
	/* The answer: success, or the last record is read, which may be the pending one. */
	:: atomic {
		pending && !sent && answered ->
		if
#ifdef NO_SERIAL
		:: !(done && got != endEra) && endEra == era && size == at + 1 && writer[at] == i ->
#else
		:: done && got == era && size > at && writer[at] == i && serial[at] == count ->
#endif
#ifdef WINDOW_FROM_ANSWER
			start[i] = now;
#else
#ifdef WINDOW_FROM_LAST_SENDING
			start[i] = last;
#else
			start[i] = first;
#endif
#endif
			succeed()
		:: done && got != endEra -> start[i] = first; succeed()
		:: else -> releasing[i] = false; holding[i] = false; learn(); settle()
		fi
	}
	/* No answer: the append is sent again. */
	:: atomic { pending && !sent && !answered && now < TIME -> last = now; sent = true;
		if
		/* Refused, since it was carried out before: the record is read. */
		:: done -> sent = false; answered = true
		:: else
		fi
	}
	od
}

/* The store comes back without its last record. */
proctype Restore() {
end:
	atomic { size > 1 -> size--; era++;
		writer[size] = 0; serial[size] = 0; knownEra[size] = 0; wait[size] = 0 }
}

proctype Time() {
	do
	:: now < TIME -> now++
	:: now == TIME -> break
	od
}

/* Never two that may give orders. */
active proctype Monitor() {
end:
	atomic { MAY_ORDER(0) && MAY_ORDER(1) -> assert(false) }
}

init {
	atomic {
		writer[0] = NONE; wait[0] = 0;
		run Daemon(0); run Daemon(1); run Restore(); run Time()
	}
}
