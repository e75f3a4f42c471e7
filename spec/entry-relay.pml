/*
 * Records of a topic that one daemon reads and passes on to another.
 *
 * The store appends records and may once go back to an older copy; offsets are then given
 * out again in a new era. The reader reads the log and sends each record with its offset
 * and its era. These datagrams may be lost, doubled, overtaken or late. The follower
 * applies a record only if it is the next one in its own era; it may read the log itself
 * at any time, and reads all records anew when it meets a new era.
 */

// mutant: GAP_IGNORED
// mutant: ERA_IGNORED
// mutant: POSITION_KEPT_ACROSS_ERAS

#define RECORDS 3
#define DATAGRAMS 2
#define NONE 255

/* Content of the log in each era: 1 or 2, the era in which the record was appended; 0 no record. */
byte content0[RECORDS];
byte content1[RECORDS];
byte end0;
byte end1;
byte era;

/* What the reader has read, and its era. */
byte readerEnd;
byte readerEra;

/* Datagrams on their way: offset, era and content. */
byte sentOffset[DATAGRAMS] = NONE;
byte sentEra[DATAGRAMS];
byte sentContent[DATAGRAMS];

/* What the follower has applied. */
byte applied[RECORDS];
byte followerEnd;
byte followerEra;

byte offset;
byte slot;

#define CONTENT(e, o) (e == 0 -> content0[o] : content1[o])
#define END(e) (e == 0 -> end0 : end1)

inline check() {
	offset = 0;
	do
	:: offset < followerEnd ->
		assert(offset < END(followerEra));
		assert(applied[offset] == CONTENT(followerEra, offset));
		offset++
	:: else -> break
	od;
	offset = 0
}

proctype Store() {
	do
	:: atomic { era == 0 && end0 < RECORDS -> content0[end0] = 1; end0++ }
	:: atomic { era == 1 && end1 < RECORDS -> content1[end1] = 2; end1++ }
	:: atomic {
		era == 0 && end0 > 0 ->
		end1 = end0 - 1;
		if
		:: end1 > 0 -> content1[0] = content0[0]
		:: else
		fi;
		if
		:: end1 > 1 -> content1[1] = content0[1]
		:: else
		fi;
		era = 1
	}
	:: era == 1 && end1 == RECORDS -> break
	od
}

proctype Reader() {
end:
	do
	/* Reads the next record and sends it, in place of any datagram that is on its way. */
	:: atomic {
		readerEra == era && readerEnd < END(era) ->
		if
		:: slot = 0
		:: slot = 1
		fi;
		sentOffset[slot] = readerEnd;
		sentEra[slot] = era;
		sentContent[slot] = CONTENT(era, readerEnd);
		readerEnd++;
		slot = 0
	}
	:: atomic { readerEra != era -> readerEra = era; readerEnd = END(era) }
	od
}

proctype Follower() {
end:
	do
	/* A datagram arrives; it may arrive again. */
	:: atomic {
		if
		:: slot = 0
		:: slot = 1
		fi;
		if
#ifdef GAP_IGNORED
		:: sentOffset[slot] != NONE && sentEra[slot] == followerEra && sentOffset[slot] >= followerEnd ->
#else
#ifdef ERA_IGNORED
		:: sentOffset[slot] != NONE && sentOffset[slot] == followerEnd ->
#else
		:: sentOffset[slot] != NONE && sentEra[slot] == followerEra && sentOffset[slot] == followerEnd ->
#endif
#endif
			applied[sentOffset[slot]] = sentContent[slot];
			followerEnd = sentOffset[slot] + 1;
			check()
		:: else
		fi;
		slot = 0
	}
	/* Reads the log itself. */
	:: atomic {
		followerEra == era && followerEnd < END(era) ->
		applied[followerEnd] = CONTENT(era, followerEnd);
		followerEnd++;
		check()
	}
	:: atomic {
		followerEra != era ->
		followerEra = era;
#ifndef POSITION_KEPT_ACROSS_ERAS
		followerEnd = 0;
		do
		:: followerEnd < END(era) -> applied[followerEnd] = CONTENT(era, followerEnd); followerEnd++
		:: else -> break
		od;
#endif
		check()
	}
	od
}

init {
	atomic { run Store(); run Reader(); run Follower() }
}
