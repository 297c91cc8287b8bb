// A cron table: ordinary crontab lines, and lines that say zone, calendar, team and job templates.
// docs/operations/cron.md explains it; CronTable reads the tree.
grammar Crontab;

table: (line? NL)* line? EOF;

line: zone | calendar | team | job | setting | entry;

zone: ZONE zoneName;
zoneName: (NAME | INT | SLASH | DASH)+ | STRING;

calendar: CALENDAR (NONE | name treat?);
treat: HOLIDAY (SKIPS | NEXT);

team: TEAM name;

job: JOB name LBRACE NL* (pair ((COMMA | NL)+ pair)*)? (COMMA | NL)* RBRACE;
pair: name EQ value;
value: STRING | NUMBER | INT | DASH (INT | NUMBER) | TRUE | FALSE | name | list | LBRACE (pair (COMMA pair)*)? RBRACE;
list: LBRACKET (value (COMMA value)*)? RBRACKET;

setting: NAME EQ (value)?;

entry: when name option*;
option: name EQ value;

when: NICKNAME | minute=field hour=field dayOfMonth=field month=field dayOfWeek=field;
field: item (COMMA item)*;
item: (STAR | from=point (DASH to=point)?) (SLASH step=INT)?;
point: INT | NAME;

name: STRING | word (DASH (word | INT))*;
word: NAME | ZONE | CALENDAR | TEAM | JOB | HOLIDAY | SKIPS | NEXT | NONE;

ZONE: 'zone';
CALENDAR: 'calendar';
TEAM: 'team';
JOB: 'job';
HOLIDAY: 'holiday';
SKIPS: 'skip';
NEXT: 'next';
NONE: 'none';
TRUE: 'true';
FALSE: 'false';
NICKNAME: '@' [a-z]+;
STAR: '*';
SLASH: '/';
DASH: '-';
COMMA: ',';
EQ: '=';
LBRACE: '{';
RBRACE: '}';
LBRACKET: '[';
RBRACKET: ']';
INT: [0-9]+;
NUMBER: [0-9]+ '.' [0-9]+;
NAME: [A-Za-z_] [A-Za-z0-9_]*;
STRING: '"' ~["\r\n]* '"';
COMMENT: '#' ~[\r\n]* -> skip;
NL: '\r'? '\n';
WS: [ \t]+ -> skip;
OTHER: .;
