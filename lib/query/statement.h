/*
 * The operators' language: statements and their parser.  daisyloft-query(5) describes it.
 */
#ifndef DL_STATEMENT_H
#define DL_STATEMENT_H

#include <stdint.h>

#include "kernel/crypt.h"
#include "query/schema.h"

typedef enum
{
  DL_STATEMENT_EMPTY, /* nothing, or only a comment */
  DL_STATEMENT_SHOW,
  DL_STATEMENT_COUNT,
  DL_STATEMENT_IN_FORCE,
  DL_STATEMENT_PUBLISH,
  DL_STATEMENT_ROLLOUT_START,
  DL_STATEMENT_ROLLOUT_PAUSE,
  DL_STATEMENT_ROLLOUT_RESUME,
  DL_STATEMENT_ROLLOUT_CALL_OFF,
  DL_STATEMENT_DRAIN,
  DL_STATEMENT_UNDRAIN,
  DL_STATEMENT_SETTINGS_APPLY,
  DL_STATEMENT_SETTINGS_CHECK,
  DL_STATEMENT_SETTINGS_DIFF,
} DlStatementType;

typedef enum
{
  DL_OPERATOR_EQUAL,
  DL_OPERATOR_NOT_EQUAL,
  DL_OPERATOR_LESS,
  DL_OPERATOR_GREATER,
  DL_OPERATOR_LESS_EQUAL,
  DL_OPERATOR_GREATER_EQUAL,
  DL_OPERATOR_CONTAINS,
} DlOperator;

/* A value to compare a column with. */
typedef struct
{
  const char *text;
  uint64_t number; /* of NUMBER and TIME; hundredths for RATIO; 0 or 1 for FLAG */
} DlOperand;

typedef enum
{
  DL_CONDITION_AND,
  DL_CONDITION_OR,
  DL_CONDITION_COMPARE,
  DL_CONDITION_IN,
} DlConditionType;

typedef struct DlCondition
{
  DlConditionType type;
  union
  {
    struct
    {
      struct DlCondition *left;
      struct DlCondition *right;
    } logic;
    struct
    {
      int column;
      DlOperator operator;
      DlOperand operand;
    } compare;
    struct
    {
      int column;
      size_t count;
      DlOperand *operands;
    } in;
  };
} DlCondition;

/* The selection of a SHOW or COUNT statement. */
typedef struct
{
  DlTableId table;
  size_t column_count; /* 0: the default columns */
  int *columns;
  DlCondition *where; /* NULL: all rows */
  int order_column;   /* -1: the table's default order */
  bool descending;
  uint64_t limit; /* 0: none */
} DlSelect;

/* What a rollout minimises: its duration or the bytes fetched from the origin. */
typedef enum
{
  DL_ROLLOUT_WEIGH_DEFAULT, /* as set in the fleet settings */
  DL_ROLLOUT_WEIGH_TIME,
  DL_ROLLOUT_WEIGH_ORIGIN_BYTES,
} DlRolloutWeigh;

/* A parsed statement. */
typedef struct
{
  DlStatementType type;
  uint64_t at_revision; /* the precondition "at revision N"; 0: none */
  union
  {
    DlSelect select;
    struct
    {
      uint64_t revision; /* 0: the accepted one */
    } in_force;
    struct
    {
      const char *version; /* digest in hexadecimal */
      const char *label;
      const char *model;
      uint64_t manifest_bytes;
      uint64_t total_bytes;
      uint64_t chunk_count;
    } publish;
    struct
    {
      const char *name;
      const char *service;
      const char *version; /* label or digest */
      size_t region_count; /* 0: all regions */
      const char **regions;
      DlRolloutWeigh weigh;
      uint64_t wave_percent; /* 0: as set in the fleet settings */
    } start;
    const char *name; /* ROLLOUT_PAUSE, RESUME, CALL_OFF: rollout; DRAIN, UNDRAIN: host;
                         SETTINGS_*: file */
  };
} DlStatement;

typedef struct
{
  size_t position; /* byte offset of the word that the error is about */
  const char *text;
} DlSyntaxError;

/* Parses one statement.  Returns 0 with *STATEMENT, or -EINVAL with ERROR; the statement
 * or the error's text is a talloc child of CONTEXT. */
int dl_statement_parse (const void *context,
                        DlStr text,
                        DlStatement **statement,
                        DlSyntaxError *error);
/* True for statements that only read. */
bool dl_statement_is_query (const DlStatement *statement);

#endif
