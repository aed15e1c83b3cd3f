/*
 * The configuration in force at a daemon never decreases while it lives, whatever
 * order lists, watch deltas and peers' snapshots come in, and however stale they
 * are. Mirrors internal/version/config.
 *
 * Mutations: -DM_ANY (apply whatever comes) -DM_DELTA (apply a delta on any base)
 */
#define VERSIONS 4
#define DAEMONS 3

byte store = 1;
byte inforce[DAEMONS];
byte has[DAEMONS]; /* bit set of the changes that the snapshot in force contains */

/* One message on its way to each daemon; it may be late, doubled or lost. */
bool m_set[DAEMONS], m_delta[DAEMONS];
byte m_base[DAEMONS], m_version[DAEMONS];

#define ALL(v) ((1 << (v)) - 1)

inline install(d, version, content) {
	assert(version > inforce[d]);
	inforce[d] = version;
	has[d] = content;
	assert(has[d] == ALL(inforce[d])) /* a version in force is whole */
}

proctype Daemon(byte d) {
	byte from, read;

end:	do
	/* a list from the platform, which may be served stale */
	:: atomic { read = 1;
		do
		:: read < store -> read++
		:: break
		od;
		if
#ifdef M_ANY
		:: install(d, read, ALL(read))
#else
		:: read > inforce[d] -> install(d, read, ALL(read))
		:: read <= inforce[d] -> skip
#endif
		fi;
		read = 0 }
	/* a message arrives and is kept on the way (doubled) or not */
	:: atomic { m_set[d] ->
		if
#ifdef M_ANY
		:: !m_delta[d] -> install(d, m_version[d], ALL(m_version[d]))
#else
		:: !m_delta[d] && m_version[d] > inforce[d] -> install(d, m_version[d], ALL(m_version[d]))
		:: !m_delta[d] && m_version[d] <= inforce[d] -> skip
#endif
#ifdef M_DELTA
		:: m_delta[d] && m_version[d] > inforce[d] ->
#else
		:: m_delta[d] && m_base[d] == inforce[d] && m_version[d] > inforce[d] ->
#endif
			install(d, m_version[d], has[d] | (ALL(m_version[d]) & ~ALL(m_base[d])))
		:: m_delta[d] && (m_base[d] != inforce[d] || m_version[d] <= inforce[d]) -> skip
		fi;
		if
		:: m_set[d] = false; m_delta[d] = false; m_base[d] = 0; m_version[d] = 0
		:: skip
		fi }
	/* another daemon passes on what it has, as a delta or whole */
	:: atomic { !m_set[d] ->
		if
		:: from = 0
		:: from = 1
		:: from = 2
		fi;
		if
		:: inforce[from] > 0 && from != d ->
			m_set[d] = true; m_version[d] = inforce[from];
			if
			:: m_delta[d] = true; m_base[d] = inforce[from] - 1
			:: m_delta[d] = false
			fi
		:: inforce[from] == 0 || from == d -> skip
		fi;
		from = 0 }
	/* it is replaced by a fresh one */
	:: atomic { inforce[d] = 0; has[d] = 0 }
	od
}

proctype Operators() {
end:	do
	:: store < VERSIONS -> store++
	od
}

init { atomic { run Operators(); run Daemon(0); run Daemon(1); run Daemon(2) } }
