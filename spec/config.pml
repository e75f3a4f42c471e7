/*
 * Configuration by proposals on the log (design 4.3).
 *
 * Two operators compete, each with one proposal, whose append may be repeated after a lost
 * response. Either may base its proposal on the other's accepted one. The log is trimmed, a
 * paused daemon appends an outdated checkpoint, and a daemon starts from the retained log.
 *
 * A text is identified by the proposal that carries it, so that the state of a fold is
 * its version number, its text and the offset of the next record.
 */

// mutant: IGNORE_BASE
// mutant: ADOPT_ANY_CHECKPOINT
// mutant: CHECKPOINT_OVERRIDES
// mutant: COUNT_REPEATED

#define LOG 5

#define PROPOSAL 1
#define CHECKPOINT 2

/* Whether a reader without state, which can read the log from offset first on, may start from the record at o. */
#ifdef ADOPT_ANY_CHECKPOINT
#define SUFFICIENT(o) (log[o].kind == CHECKPOINT)
#else
#define SUFFICIENT(o) (log[o].kind == CHECKPOINT && log[o].upto >= first)
#endif

/* Whether a fold with version v and text t accepts the proposal at offset o. */
#ifdef IGNORE_BASE
#define ACCEPTED(o, v, t) (true)
#else
#ifdef COUNT_REPEATED
#define ACCEPTED(o, v, t) (log[o].base == v || log[o].text == t)
#else
#define ACCEPTED(o, v, t) (log[o].base == v)
#endif
#endif

/*
 * One record. For a proposal, base is the version on which it builds. For a checkpoint, base
 * is its version and upto the offset of the first record that is not folded into it.
 */
typedef Record {
	byte kind;
	byte base;
	byte text;
	byte upto
};

Record log[LOG];
byte tail;
byte head;

/* Reference: version and text before each offset, from a fold that reads every record. */
byte trueVersion[LOG + 1];
byte trueText[LOG + 1];
byte acceptedOn[LOG + 1];

/* Fold 0 reads from the start. Fold 1 starts at any time without state. */
byte version[2];
byte text[2];
byte next[2];
bool ready[2];

/* Folds the record at offset o into version v and text t. */
inline fold(o, v, t) {
	if
	:: log[o].kind == PROPOSAL ->
		if
		:: ACCEPTED(o, v, t) ->
			v = v + 1;
			t = log[o].text
		:: else
		fi
	:: log[o].kind == CHECKPOINT ->
#ifdef CHECKPOINT_OVERRIDES
		v = log[o].base;
		t = log[o].text
#else
		skip
#endif
	fi
}

/* Appends a record and updates the reference by the rule of the design. */
inline append(k, b, x, u) {
	log[tail].kind = k;
	log[tail].base = b;
	log[tail].text = x;
	log[tail].upto = u;
	trueVersion[tail + 1] = trueVersion[tail];
	trueText[tail + 1] = trueText[tail];
	if
	:: k == PROPOSAL && b == trueVersion[tail] ->
		trueVersion[tail + 1] = b + 1;
		trueText[tail + 1] = x;
		acceptedOn[b]++;
		assert(acceptedOn[b] <= 1)
	:: else
	fi;
	tail++
}

/* Fold i agrees with the reference at its position, and its version never decreases. */
inline check(i, before) {
	assert(version[i] >= before);
	assert(version[i] == trueVersion[next[i]]);
	assert(text[i] == trueText[next[i]])
}

/* Proposes on the version of fold 0; the response may be lost and the append repeated. */
proctype Operator(byte id) {
	byte base;
	atomic { base = version[0] };
	if
	:: atomic { tail < LOG -> append(PROPOSAL, base, id, 0) }
	fi;
end:
	if
	:: skip
	:: atomic { tail < LOG -> append(PROPOSAL, base, id, 0) }
	fi
}

/* Takes a snapshot of fold 0, pauses, and appends it. */
proctype Checkpointer() {
	byte v;
	byte t;
	byte n;
	byte rounds = 1;
	do
	:: rounds > 0 ->
		atomic { v = version[0]; t = text[0]; n = next[0] };
		if
		:: atomic { tail < LOG -> append(CHECKPOINT, v, t, n) }
		:: skip
		fi;
		rounds--
	:: else -> break
	od
}

/* Retention: never removes what fold 0 has not read yet. */
proctype Trimmer() {
end:
	do
	:: atomic { head < next[0] -> head++ }
	od
}

proctype Reader() {
	byte before;
end:
	do
	:: atomic {
		next[0] < tail ->
		before = version[0];
		fold(next[0], version[0], text[0]);
		next[0]++;
		check(0, before);
		before = 0
	}
	od
}

/*
 * Starts without state. upto of a checkpoint is the number of records folded into it, which
 * is the offset of the first record to read after it.
 */
proctype Starter() {
	byte o;
	byte before;
	byte first;
	atomic {
		first = head;
		o = first;
		if
		:: first == 0 -> ready[1] = true; next[1] = 0
		:: else
		fi
	};
end:
	do
	:: atomic {
		!ready[1] && o < tail ->
		if
		:: SUFFICIENT(o) ->
			version[1] = log[o].base;
			text[1] = log[o].text;
			next[1] = log[o].upto;
#ifdef ADOPT_ANY_CHECKPOINT
			if
			:: next[1] < first -> next[1] = first
			:: else
			fi;
#endif
			ready[1] = true;
			check(1, 0)
		:: else
		fi;
		o++
	}
	:: atomic {
		ready[1] && next[1] < tail ->
		before = version[1];
		fold(next[1], version[1], text[1]);
		next[1]++;
		check(1, before);
		before = 0
	}
	od
}

init {
	atomic {
		ready[0] = true;
		run Operator(1);
		run Operator(2);
		run Checkpointer();
		run Trimmer();
		run Reader();
		run Starter()
	}
}
